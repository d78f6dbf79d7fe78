package bootstrap

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func sortDurations(all []time.Duration) { slices.Sort(all) }

// start is a way in which a whole fleet starts.
type start struct {
	name    string
	prepare func(f *modelFleet)
}

var starts = []start{
	{"the seeds last", func(*modelFleet) {}},
	{"a third of the hosts dead", func(f *modelFleet) {
		for n, d := range f.daemons {
			d.down = n%3 == 0
		}
	}},
	{"all seeds dead", func(f *modelFleet) {
		for _, seed := range f.seeds {
			f.byHost[seed.Addr()].down = true
		}
	}},
	{"the store turns the seeds away", func(f *modelFleet) {
		for _, seed := range f.seeds {
			f.refused[seed.Addr()] = true
		}
	}},
	{"the store turns a third of the hosts away", func(f *modelFleet) {
		for n, d := range f.daemons {
			f.refused[d.address.Addr()] = n%3 == 0
		}
	}},
}

// TestStartOfTheFleet guards against a fleet that never gets a configuration after a loss of power: each daemon reads all pages of the store,
// the reads time out and are repeated, and callers are refused for as long as that lasts.
func TestStartOfTheFleet(t *testing.T) {
	const (
		// maxReads bounds the complete reads of the store at any size of the fleet, and maxCopies the copies that one daemon sends.
		maxReads  = 64
		maxCopies = 64
		// maxLoadTime leaves most of the eight seconds in which a fleet of 985 must serve again to what follows.
		maxLoadTime = 4 * time.Second
	)
	for _, size := range []int{17, 985, 1970, 3422} {
		for _, s := range starts {
			Convey(fmt.Sprintf("%d daemons, %s", size, s.name), t, func() {
				var f *modelFleet
				synctest.Test(t, func(*testing.T) {
					f = newModelFleet(size)
					s.prepare(f)
					f.run(10 * time.Second)
				})
				reads := float64(f.calls) * pageEntries / float64(f.entries())
				t.Logf("%d daemons, %s: %.1f reads, 0.9 loaded after %v, all after %v, %d copies from one", size, s.name, reads, f.loadedAfter(0.9), f.loadedAfter(1), f.busiestCopies())
				So(f.loadedAfter(1), ShouldBeBetween, 0, 2*maxLoadTime)
				So(f.loadedAfter(0.9), ShouldBeBetween, 0, maxLoadTime)
				So(reads, ShouldBeLessThanOrEqualTo, maxReads)
				So(f.busiestCopies(), ShouldBeLessThanOrEqualTo, maxCopies)
			})
		}
	}
}
