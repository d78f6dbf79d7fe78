package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

func echo(_ context.Context, _ netip.AddrPort, m message) message { return m }

func startNode(t *testing.T, opts ...Option) (*Node, netip.AddrPort) {
	address := loopback.Address()
	n := New(address, append([]Option{withLongTimeouts}, opts...)...)
	Handle(n, KindCall, echo)
	Handle(n, KindDigest, func(ctx context.Context, _ netip.AddrPort, m message) message {
		<-ctx.Done()
		return m
	})
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, address
}

// eventually waits for a condition up to testTimeout and reports whether it became true.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func TestLinksAreBounded(t *testing.T) {
	// A daemon's callers use every service in turn, so over a day it forwards requests to
	// every host of the fleet. Without a bound it would keep a connection to each.
	Convey("A node keeps at most its maximum of links, and all calls succeed", t, func() {
		client, _ := startNode(t, WithMaxLinks(3))
		var peers []netip.AddrPort
		for range 8 {
			_, peerAddress := startNode(t)
			peers = append(peers, peerAddress)
		}
		for range 2 {
			for _, to := range peers {
				reply, err := Call[message, message](t.Context(), client, to, KindCall, message{"x"})
				So(err, ShouldBeNil)
				So(reply.Text, ShouldEqual, "x")
			}
		}
		So(eventually(func() bool { return client.Connections() <= 3 }), ShouldBeTrue)
	})
	Convey("A link with a call in flight is never closed to make room", t, func() {
		client, _ := startNode(t, WithMaxLinks(1))
		_, slow := startNode(t)
		_, quick := startNode(t)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := Call[message, message](ctx, client, slow, KindDigest, message{"x"})
			ended <- err
		}()
		So(eventually(func() bool { return client.Connections() == 1 }), ShouldBeTrue)
		for range 3 {
			_, err := Call[message, message](t.Context(), client, quick, KindCall, message{"x"})
			So(err, ShouldBeNil)
		}
		cancel()
		So(<-ended, ShouldEqual, context.Canceled)
	})
}

func TestIdleLinksAreClosed(t *testing.T) {
	Convey("An idle link is closed, and the next call opens another", t, func() {
		client, _ := startNode(t, WithIdleTimeout(40*time.Millisecond))
		_, to := startNode(t)
		for range 3 {
			_, err := Call[message, message](t.Context(), client, to, KindCall, message{"x"})
			So(err, ShouldBeNil)
			So(eventually(func() bool { return client.Connections() == 0 }), ShouldBeTrue)
		}
	})
}

func TestCallsWhileIdleLinksAreClosed(t *testing.T) {
	// A call begins at the moment at which its link is closed as idle. If it were lost, its outcome would be
	// unknown though nothing was sent. On a busy machine, even a new link can be idle for that long
	// before its first call begins, several times in a row.
	Convey("No call fails because its link is closed as idle", t, func() {
		client, _ := startNode(t, WithIdleTimeout(sweepsPerIdleTimeout))
		_, to := startNode(t)
		for range 300 {
			_, err := Call[message, message](t.Context(), client, to, KindCall, message{"x"})
			So(err, ShouldBeNil)
			time.Sleep(time.Millisecond)
		}
	})
}
