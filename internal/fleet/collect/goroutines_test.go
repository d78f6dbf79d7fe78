package collect

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// TestConcurrentHeartbeats guards against a heartbeat or a reply that is read while another goroutine changes it; the race detector reports
// it.
func TestConcurrentHeartbeats(t *testing.T) {
	Convey("Daemons send heartbeats to a collector while it sends group heartbeats and applies the replies", t, func() {
		const senders, heartbeats = 8, 200
		c := New(discardObserver{}, mechanism.Set{})
		c.Configure(map[string]quota.RateLimit{"o": {PerSecond: 1, Burst: 1}})
		start := time.Unix(1000, 0)
		var done sync.WaitGroup
		for n := range senders {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
			done.Go(func() {
				for i := range heartbeats {
					hb := Heartbeat{
						From: from, Report: demand.Report{Daemons: 1}, Calls: graph.Edges{"a": {"b": float64(i)}}, Counts: map[string]quota.Count{"o": {Requested: int64(i)}},
					}
					_ = fmt.Sprint(c.Handle(hb, Fleet{Daemons: 300}, start.Add(time.Duration(i)*time.Millisecond)))
				}
			})
		}
		for i := range heartbeats {
			var hb Heartbeat
			now := start.Add(time.Duration(i) * time.Millisecond)
			c.FillGroup(&hb, nil, now)
			_ = fmt.Sprint(hb)
			c.Apply(Reply{Plan: Plan{Daemons: 300}}, now)
			c.SetGrants(map[string]float64{"s": 1}, now)
		}
		done.Wait()
		So(c.demand.Daemons(), ShouldEqual, senders)
	})
}
