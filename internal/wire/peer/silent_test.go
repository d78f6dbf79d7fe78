package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// faultyProxy forwards connections between two nodes; it can discard what is sent on those open so far.
type faultyProxy struct {
	opened     atomic.Int64
	blackholed atomic.Int64
}

// startFaultyProxy starts a proxy to a node and returns the proxy's address.
func startFaultyProxy(t *testing.T, to netip.AddrPort) (*faultyProxy, netip.AddrPort) {
	address := loopback.Address()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &faultyProxy{}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to.String())
			if err != nil {
				return
			}
			number := p.opened.Add(1)
			go p.copy(near, far, number)
			go p.copy(far, near, number)
		}
	}()
	return p, address
}

// blackholeOpen discards what is sent on the connections open so far, without closing them.
func (p *faultyProxy) blackholeOpen() { p.blackholed.Store(p.opened.Load()) }

func (p *faultyProxy) copy(to, from net.Conn, number int64) {
	_, err := io.Copy(writerFunc(func(data []byte) (int, error) {
		if number <= p.blackholed.Load() {
			return len(data), nil
		}
		return to.Write(data)
	}), from)
	if err != nil || number > p.blackholed.Load() {
		_ = to.Close()
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func TestDroppedLinkFinishesCallsInFlight(t *testing.T) {
	// A switch fails, and the connections through it stay open though nothing gets through. The digest to the host is
	// lost, so its link is dropped, but some call is always in flight on it. If the link took new calls for as long as it
	// has any in flight, all of them would be lost on it, also after the switch is replaced.
	Convey("A dropped link takes no new calls, completes those in flight, and then is closed", t, func() {
		begun, release := make(chan struct{}), make(chan struct{})
		client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message {
			if m.Text == "slow" {
				close(begun)
				<-release
			}
			return m
		})
		proxy, proxyAddress := startFaultyProxy(t, server)
		ended := make(chan error, 1)
		go func() {
			_, err := Call[message, message](t.Context(), client, proxyAddress, KindCall, message{"slow"})
			ended <- err
		}()
		<-begun
		client.DropLinks(proxyAddress)
		_, err := Call[message, message](t.Context(), client, proxyAddress, KindCall, message{"next"})
		So(err, ShouldBeNil)
		So(proxy.opened.Load(), ShouldEqual, 2)
		close(release)
		So(<-ended, ShouldBeNil)
		So(eventually(func() bool { return client.Connections() == 1 }), ShouldBeTrue)
	})
}

func TestSilentLinkIsReplaced(t *testing.T) {
	// A firewall loses its state: one connection is dead but stays open, while the digests on another get through, so that
	// the host seems healthy. If the dead link were kept, every request on it would end with an unknown outcome.
	Convey("A link on which a call ended without a response, and nothing else was received, takes no new calls", t, func() {
		client, server := startPair(t, echo)
		client.silenceTimeout = 0
		proxy, proxyAddress := startFaultyProxy(t, server)
		_, err := Call[message, message](t.Context(), client, proxyAddress, KindCall, message{"before"})
		So(err, ShouldBeNil)
		proxy.blackholeOpen()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = Call[message, message](ctx, client, proxyAddress, KindCall, message{"lost"})
		So(err, ShouldEqual, context.DeadlineExceeded)
		ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err = Call[message, message](ctx, client, proxyAddress, KindCall, message{"after"})
		So(err, ShouldBeNil)
		So(proxy.opened.Load(), ShouldEqual, 2)
	})
	Convey("A link on which other calls get responses meanwhile is kept", t, func() {
		begun := make(chan struct{})
		client, server := startPair(t, func(ctx context.Context, _ netip.AddrPort, m message) message {
			if m.Text == "slow" {
				close(begun)
				<-ctx.Done()
			}
			return m
		})
		client.silenceTimeout = 0
		proxy, proxyAddress := startFaultyProxy(t, server)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := Call[message, message](ctx, client, proxyAddress, KindCall, message{"slow"})
			ended <- err
		}()
		<-begun
		for range 3 {
			_, err := Call[message, message](t.Context(), client, proxyAddress, KindCall, message{"quick"})
			So(err, ShouldBeNil)
		}
		cancel()
		So(<-ended, ShouldEqual, context.Canceled)
		_, err := Call[message, message](t.Context(), client, proxyAddress, KindCall, message{"quick"})
		So(err, ShouldBeNil)
		So(proxy.opened.Load(), ShouldEqual, 1)
	})
}
