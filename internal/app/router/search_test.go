package router

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// TestCollectorBehindLostHosts guards against a daemon that is left without a plan because many of the hosts that come before the first collector
// that replies are lost.
func TestCollectorBehindLostHosts(t *testing.T) {
	const lost, heartbeats = 60, 3
	Convey("A heartbeat reaches the first collector that replies, however many lost ones come before it", t, func() {
		var hosts []netip.Addr
		var listed []collect.Host
		for range lost + 2 {
			host := loopback.Address().Addr()
			hosts, listed = append(hosts, host), append(listed, collect.Host{Address: host, Zone: "a"})
		}
		topology := collect.NewTopology(listed)
		slices.SortFunc(hosts, func(a, b netip.Addr) int { return topology.Position(a) - topology.Position(b) })
		collector, self := hosts[lost], hosts[lost+1]

		var received atomic.Int64
		node := peer.New(netip.AddrPortFrom(collector, 1002), peer.WithProbes(peer.Probes{After: time.Second, Limit: time.Minute}))
		peer.Handle(node, peer.KindHeartbeat, func(context.Context, netip.AddrPort, collect.Heartbeat) collect.Reply {
			received.Add(1)
			return collect.Reply{}
		})
		So(node.Start(), ShouldBeNil)
		defer node.Stop()

		r := New(Settings{Zone: "a", Service: "s", Peers: netip.AddrPortFrom(self, 1002)}, fixedSource{}, signedHeads{}, telemetry.NewLog(io.Discard, logrus.InfoLevel))
		So(r.peers.Start(), ShouldBeNil)
		defer r.peers.Stop()
		r.control.catalog.Apply(zoneChanges(hosts, knownRevision), time.Now(), time.Now())
		r.control.publish()
		for range heartbeats {
			r.reporter.sendHeartbeat(r.reporter.topology())
		}
		So(received.Load(), ShouldBeGreaterThan, 0)
	})
}
