package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestCallUnlessSilent(t *testing.T) {
	probes := func(limit time.Duration) Option {
		return WithProbes(Probes{After: 20 * time.Millisecond, Limit: limit})
	}
	// A host is suspended while it runs requests. One that may be retried should fail early, so that another host
	// can run it; one that may not should wait, since the host may still respond.
	Convey("On a silent link, only calls by CallUnlessSilent end before their context", t, func() {
		begun := make(chan struct{}, 2)
		client, server := startPair(t, func(ctx context.Context, _ netip.AddrPort, m message) message {
			begun <- struct{}{}
			<-ctx.Done()
			return m
		}, probes(200*time.Millisecond))
		proxy, proxyAddress := startFaultyProxy(t, server)
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_, err := Call[message, message](ctx, client, proxyAddress, KindCall, message{"once"})
			ended <- err
		}()
		<-begun
		proxy.blackholeOpen()
		_, err := CallUnlessSilent[message, message](t.Context(), client, proxyAddress, KindCall, message{"again"})
		So(errors.Is(err, ErrLost), ShouldBeTrue)
		So(ended, ShouldBeEmpty)
		cancel()
		So(<-ended, ShouldEqual, context.Canceled)
	})
	Convey("A slow call on a link that responds to probes completes", t, func() {
		client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message {
			time.Sleep(3 * time.Second)
			return m
		}, probes(2*time.Second))
		got, err := CallUnlessSilent[message, message](t.Context(), client, server, KindCall, message{"slow"})
		So(err, ShouldBeNil)
		So(got.Text, ShouldEqual, "slow")
	})
}
