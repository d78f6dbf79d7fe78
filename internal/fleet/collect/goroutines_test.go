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

// TestManyTellAtOnce guards against a beat or an answer that is read while another goroutine changes it; the race detector sees it.
func TestManyTellAtOnce(t *testing.T) {
	Convey("Daemons tell a collector while it tells of its group and hears the fleet's", t, func() {
		const tellers, beats = 8, 200
		c := New(silent{}, mechanism.Set{})
		c.Configure(map[string]quota.Rate{"o": {PerSecond: 1, Burst: 1}})
		start := time.Unix(1000, 0)
		var all sync.WaitGroup
		for n := range tellers {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
			all.Go(func() {
				for i := range beats {
					b := Heartbeat{
						From: from, Report: demand.Report{Daemons: 1}, Calls: graph.Edges{"a": {"b": float64(i)}}, Counts: map[string]quota.Count{"o": {Requested: int64(i)}},
					}
					_ = fmt.Sprint(c.Handle(b, Fleet{Daemons: 300}, start.Add(time.Duration(i)*time.Millisecond)))
				}
			})
		}
		for i := range beats {
			var b Heartbeat
			now := start.Add(time.Duration(i) * time.Millisecond)
			c.FillGroup(&b, nil, now)
			_ = fmt.Sprint(b)
			c.Apply(Reply{Plan: Plan{Daemons: 300}}, now)
			c.SetGrants(map[string]float64{"s": 1}, now)
		}
		all.Wait()
		So(c.demand.Daemons(), ShouldEqual, tellers)
	})
}
