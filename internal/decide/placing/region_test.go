package placing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const (
	// regionWay is the time to another region and back.
	regionWay = 60 * ms
	// perRegion is the hosts in each of three regions; the first are in the own one.
	perRegion = 4
)

// spread returns hosts in three regions with three availability zones each.
func spread() []lists.Host {
	all := hosts(3 * perRegion)
	for i := range all {
		all[i].Region = string(rune('A' + i/perRegion))
		all[i].Zone = all[i].Region + all[i].Zone
	}
	return all
}

// apart adds the way to another region to what a host's own region sees.
func apart(answers answer) answer {
	return func(h, running int) (time.Duration, Ending, call.Load) {
		took, ending, load := answers(h, running)
		if h >= perRegion {
			took += regionWay
		}
		return took, ending, load
	}
}

// A service runs in three regions, 60 ms apart. Its instances in the caller's own region are busy, as they are all
// day, and those elsewhere show no load because this daemon has none there. Placed by that, lookups cross an ocean
// while there is room next door, and a dealer waits ten times as long.
func TestRegions(t *testing.T) {
	busy := func(_, running int) (time.Duration, Ending, call.Load) {
		return 20 * ms, Served, call.Load{InFlight: running, Limit: 100}
	}
	refusing := func(h, running int) (time.Duration, Ending, call.Load) {
		if h < perRegion && running > 5 {
			return ms, Declined, call.Load{InFlight: 5, Queued: 1, Limit: 5}
		}
		return busy(h, running)
	}
	dead := func(h, running int) (time.Duration, Ending, call.Load) {
		if h < perRegion {
			return ms, Failed, call.Load{}
		}
		return busy(h, running)
	}
	cases := []struct {
		name   string
		every  time.Duration
		answer answer
		// least and most bound the share that goes to other regions.
		least, most float64
	}{
		{"a calm region serves its own callers", 20 * ms, busy, 0, 0.01},
		{"a busy region with room serves its own callers", ms / 10, busy, 0, 0.01},
		{"a region that refuses sends on what it can't serve", ms / 2, refusing, 0.2, 0.6},
		{"a region whose instances are dead sends nearly all on", ms, dead, 0.9, 1},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			choose, _ := seeded()
			p := New("Aa", WithRegion("A"), choose)
			shares := drive(p, spread(), start, 20*time.Second, c.every, apart(c.answer))
			far := 0.0
			for _, s := range shares[perRegion:] {
				far += s
			}
			t.Logf("%s: %.1f%% to other regions", c.name, 100*far)
			So(far, ShouldBeBetweenOrEqual, c.least, c.most)
		})
	}
}

func TestRegionless(t *testing.T) {
	Convey("Hosts whose entries name no region are taken as the own region's", t, func() {
		choose, _ := seeded()
		all := hosts(6)
		all[0].Region, all[1].Region = "A", "B"
		shares := drive(New("a", WithRegion("A"), choose), all, start, 10*time.Second, ms, healthy)
		So(shares[1], ShouldEqual, 0)
		So(shares[2], ShouldBeGreaterThan, 0)
	})
}
