package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

func echo(_ context.Context, _ netip.AddrPort, q question) question { return q }

func startNode(t *testing.T, opts ...Option) (*Node, netip.AddrPort) {
	at := loopback.Address()
	n := New(at, append([]Option{patient}, opts...)...)
	Handle(n, KindCall, echo)
	Handle(n, KindDigest, func(ctx context.Context, _ netip.AddrPort, q question) question {
		<-ctx.Done()
		return q
	})
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, at
}

// eventually waits for a condition with a generous bound.
func eventually(holds func() bool) bool {
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

func TestLinksAreBounded(t *testing.T) {
	// A daemon's callers ask for every service in turn, so over a day it hands
	// requests to every host of the fleet. Without a bound it would keep a connection to each.
	Convey("A node keeps no more links than its bound, and calls go through all the same", t, func() {
		client, _ := startNode(t, WithMaxLinks(3))
		var peers []netip.AddrPort
		for range 8 {
			_, at := startNode(t)
			peers = append(peers, at)
		}
		for range 2 {
			for _, to := range peers {
				back, err := Call[question, question](t.Context(), client, to, KindCall, question{"x"})
				So(err, ShouldBeNil)
				So(back.Text, ShouldEqual, "x")
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
			_, err := Call[question, question](ctx, client, slow, KindDigest, question{"x"})
			ended <- err
		}()
		So(eventually(func() bool { return client.Connections() == 1 }), ShouldBeTrue)
		for range 3 {
			_, err := Call[question, question](t.Context(), client, quick, KindCall, question{"x"})
			So(err, ShouldBeNil)
		}
		cancel()
		So(<-ended, ShouldEqual, context.Canceled)
	})
}

func TestIdleLinksAreClosed(t *testing.T) {
	Convey("A link that nobody uses is closed, and the next call opens another", t, func() {
		client, _ := startNode(t, WithIdleTime(40*time.Millisecond))
		_, to := startNode(t)
		for range 3 {
			_, err := Call[question, question](t.Context(), client, to, KindCall, question{"x"})
			So(err, ShouldBeNil)
			So(eventually(func() bool { return client.Connections() == 0 }), ShouldBeTrue)
		}
	})
}

func TestCallsWhileLinksAreClosed(t *testing.T) {
	// A call begins at the very moment at which its link is closed as idle. Were
	// it lost, a dispatch would be answered with an unknown outcome for nothing.
	// On a busy machine a new link can be idle for that long before its first call begins, again and again.
	Convey("No call is lost to the end of an idle link", t, func() {
		client, _ := startNode(t, WithIdleTime(sweepsPerIdle))
		_, to := startNode(t)
		for range 300 {
			_, err := Call[question, question](t.Context(), client, to, KindCall, question{"x"})
			So(err, ShouldBeNil)
			time.Sleep(time.Millisecond)
		}
	})
}
