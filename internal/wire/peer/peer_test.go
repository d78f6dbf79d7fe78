package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type question struct {
	Text string `msgpack:"text"`
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func startPair(t *testing.T, answer func(context.Context, netip.AddrPort, question) question) (client *Node, server netip.AddrPort) {
	server = freeAddress(t)
	s := New(server)
	Handle(s, KindCall, answer)
	client = New(freeAddress(t))
	for _, n := range []*Node{s, client} {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Stop)
	}
	return client, server
}

func TestCallsInFlightTogether(t *testing.T) {
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, q question) question {
		if len(q.Text) == 1 {
			time.Sleep(20 * time.Millisecond)
		}
		return q
	})
	Convey("Answers that arrive out of order reach their own calls", t, func() {
		var all sync.WaitGroup
		crossed := make(chan string, 200)
		for _, text := range []string{"a", "bb", "c", "dd"} {
			for range 50 {
				all.Go(func() {
					back, err := Call[question, question](t.Context(), client, server, KindCall, question{text})
					if err != nil || back.Text != text {
						crossed <- text + "/" + back.Text
					}
				})
			}
		}
		all.Wait()
		So(crossed, ShouldBeEmpty)
	})
}

func TestCancelledCallStopsTheHandler(t *testing.T) {
	// A caller hangs up while its request waits at another host. Unless the
	// word travels, that host goes on working for nobody.
	stopped := make(chan struct{})
	client, server := startPair(t, func(ctx context.Context, _ netip.AddrPort, q question) question {
		<-ctx.Done()
		close(stopped)
		return q
	})
	Convey("The handler's context ends with the caller's", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := Call[question, question](ctx, client, server, KindCall, question{"x"})
		So(err, ShouldEqual, context.Canceled)
		<-stopped
	})
}

func TestNobodyListens(t *testing.T) {
	client, _ := startPair(t, func(_ context.Context, _ netip.AddrPort, q question) question { return q })
	Convey("A call that could not be sent says so", t, func() {
		_, err := Call[question, question](t.Context(), client, freeAddress(t), KindCall, question{"x"})
		So(err, ShouldWrap, ErrNotSent)
	})
}
