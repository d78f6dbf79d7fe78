package placing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const (
	// regionRTT is the round-trip time to another region.
	regionRTT = 60 * ms
	// hostsPerRegion is the number of hosts in each of three regions; the first hosts are in the daemon's own region.
	hostsPerRegion = 4
)

// regionHosts returns hosts in three regions with three availability zones each.
func regionHosts() []lists.Host {
	all := hosts(3 * hostsPerRegion)
	for i := range all {
		all[i].Region = string(rune('A' + i/hostsPerRegion))
		all[i].Zone = all[i].Region + all[i].Zone
	}
	return all
}

// withRegionRTT adds the round-trip time to the latency of hosts in other regions.
func withRegionRTT(model hostModel) hostModel {
	return func(h, running int) (time.Duration, Result, call.Load) {
		took, result, load := model(h, running)
		if h >= hostsPerRegion {
			took += regionRTT
		}
		return took, result, load
	}
}

// Guards against placing by an unknown load: a service runs in three regions, 60 ms apart. The instances in the daemon's own region are
// busy, as usual during the day, and those of other regions show no load because this daemon has no requests there. Lookups would cross
// an ocean while the daemon's own region has free slots, and a dealer would wait ten times as long.
func TestRegions(t *testing.T) {
	busy := func(_, running int) (time.Duration, Result, call.Load) {
		return 20 * ms, Served, call.Load{InFlight: running, Limit: 100}
	}
	refusing := func(h, running int) (time.Duration, Result, call.Load) {
		if h < hostsPerRegion && running > 5 {
			return ms, Declined, call.Load{InFlight: 5, Queued: 1, Limit: 5}
		}
		return busy(h, running)
	}
	dead := func(h, running int) (time.Duration, Result, call.Load) {
		if h < hostsPerRegion {
			return ms, NoResponse, call.Load{}
		}
		return busy(h, running)
	}
	cases := []struct {
		name  string
		every time.Duration
		model hostModel
		// minShare and maxShare bound the share of requests that goes to other regions.
		minShare, maxShare float64
	}{
		{"a region at low load serves its own callers", 20 * ms, busy, 0, 0.01},
		{"a busy region with free slots serves its own callers", ms / 10, busy, 0, 0.01},
		{"a region that declines requests sends those that it can't serve to others", ms / 2, refusing, 0.2, 0.6},
		{"a region whose instances are unreachable sends nearly all requests to others", ms, dead, 0.9, 1},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			choose, _ := seeded()
			p := New("Aa", WithRegion("A"), choose)
			shares := drive(p, regionHosts(), start, 20*time.Second, c.every, withRegionRTT(c.model))
			otherRegions := 0.0
			for _, s := range shares[hostsPerRegion:] {
				otherRegions += s
			}
			t.Logf("%s: %.1f%% to other regions", c.name, 100*otherRegions)
			So(otherRegions, ShouldBeBetweenOrEqual, c.minShare, c.maxShare)
		})
	}
}

func TestHostsWithoutRegion(t *testing.T) {
	Convey("Hosts whose entries name no region count as in the daemon's own region", t, func() {
		choose, _ := seeded()
		all := hosts(6)
		all[0].Region, all[1].Region = "A", "B"
		shares := drive(New("a", WithRegion("A"), choose), all, start, 10*time.Second, ms, healthy)
		So(shares[1], ShouldEqual, 0)
		So(shares[2], ShouldBeGreaterThan, 0)
	})
}
