package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

type question struct {
	Text string `msgpack:"text"`
}

// patient gives connections so long to open that no verdict depends on how fast the machine is.
func patient(n *Node) { n.dialTime, n.greetTime = patience, patience }

func startPair(t *testing.T, answer func(context.Context, netip.AddrPort, question) question, opts ...Option) (client *Node, server netip.AddrPort) {
	server = loopback.Address()
	opts = append([]Option{patient}, opts...)
	s := New(server, opts...)
	Handle(s, KindCall, answer)
	client = New(loopback.Address(), opts...)
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
						crossed <- fmt.Sprintf("%s/%s: %v", text, back.Text, err)
					}
				})
			}
		}
		all.Wait()
		close(crossed)
		for wrong := range crossed {
			So(wrong, ShouldBeEmpty)
		}
	})
}

func TestManyCallsOpenOneConnection(t *testing.T) {
	// A link to a host is lost while hundreds of requests for it come in. Each
	// opens a connection of its own, the host is busy with their handshakes, and
	// on a loaded machine some requests are refused because theirs took too long.
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, q question) question { return q })
	Convey("Calls that come while a connection is being opened wait for it", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		var opened atomic.Int64
		go relay(l, server, &opened)
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() {
				_, err := Call[question, question](t.Context(), client, netip.MustParseAddrPort(l.Addr().String()), KindCall, question{"x"})
				if err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		So(opened.Load(), ShouldEqual, 1)
	})
}

// relay passes connections on and counts them.
func relay(l net.Listener, to netip.AddrPort, opened *atomic.Int64) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		opened.Add(1)
		far, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(near, far) }()
		go func() { _, _ = io.Copy(far, near) }()
	}
}

func TestCancelledCallStopsTheHandler(t *testing.T) {
	// A caller hangs up while its request waits at another host. Unless the
	// word travels, that host goes on working for nobody.
	begun, stopped := make(chan struct{}), make(chan struct{})
	client, server := startPair(t, func(ctx context.Context, _ netip.AddrPort, q question) question {
		close(begun)
		<-ctx.Done()
		close(stopped)
		return q
	})
	Convey("The handler's context ends with the caller's", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-begun
			cancel()
		}()
		_, err := Call[question, question](ctx, client, server, KindCall, question{"x"})
		So(err, ShouldEqual, context.Canceled)
		<-stopped
	})
}

func TestNobodyListens(t *testing.T) {
	client, _ := startPair(t, func(_ context.Context, _ netip.AddrPort, q question) question { return q })
	Convey("A call that could not be sent says so", t, func() {
		_, err := Call[question, question](t.Context(), client, loopback.Address(), KindCall, question{"x"})
		So(err, ShouldWrap, ErrNotSent)
	})
}

// breakingPeer greets as a peer does, reads up to some bytes of what follows and closes the connection.
func breakingPeer(t *testing.T, reads int64) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			breakAfter(conn, reads)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func breakAfter(conn net.Conn, reads int64) {
	defer func() { _ = conn.Close() }()
	g := greeting{secrets: []string{noSecret}}
	buffer := make([]byte, 1)
	for !g.done {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := g.feed(buffer, func(out []byte) { _, _ = conn.Write(out) }); err != nil {
			return
		}
	}
	_, _ = io.CopyN(io.Discard, conn, reads)
}

// onTheWire returns how many bytes a request takes on its connection.
func onTheWire(q question) int64 {
	payload, err := encode(q)
	So(err, ShouldBeNil)
	request := frame{form: formRequest, kind: KindCall, payload: payload}
	if len(payload) <= pieceSize {
		return int64(len(request.encode()))
	}
	return int64(len(inPieces(request, 1, pieceSize)))
}

func TestConnectionBreaksInTheMiddle(t *testing.T) {
	// A connection to a peer breaks while a request is on it. A campaign file
	// of which only a part had left can't have been run, and its maker may send
	// it again at once; of one that had left whole nobody can tell.
	const whole, large = 0, 32 << 20
	cases := []struct {
		name  string
		bytes int
		reads int64
		want  error
	}{
		{"a large request that left in part", large, 1 << 20, ErrNotSent},
		{"a large request that left whole", large, whole, ErrLost},
		{"a small request that left whole", 100, whole, ErrLost},
		{"a small request of which a byte was read", 100, 1, ErrLost},
	}
	client := New(loopback.Address(), patient)
	if err := client.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Stop)
	Convey("Not sent is said only of a request that did not leave whole", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				request := question{string(make([]byte, c.bytes))}
				reads := c.reads
				if reads == whole {
					reads = onTheWire(request)
				}
				peer := breakingPeer(t, reads)
				_, err := Call[question, question](t.Context(), client, peer, KindCall, request)
				So(err, ShouldWrap, c.want)
			})
		}
	})
}

// A host is cut off in such a way that connections to it hang. A request that
// asks it for a token could ask the next home, but waits until the connection is given up,
// and its caller is refused although it is inside its rate.
func TestCallGivesUpOnAHangingConnection(t *testing.T) {
	Convey("A call ends with its context while the connection is still being opened", t, func() {
		l, err := net.Listen("tcp", loopback.Address().String())
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		client := New(loopback.Address(), WithDialTimeout(time.Minute))
		So(client.Start(), ShouldBeNil)
		defer client.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err = Call[question, question](ctx, client, netip.MustParseAddrPort(l.Addr().String()), KindLease, question{"a"})
		So(err, ShouldWrap, ErrNotSent)
		So(err.Error(), ShouldContainSubstring, context.DeadlineExceeded.Error())
	})
}
