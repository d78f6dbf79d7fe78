package bootstrap

import (
	"context"
	"fmt"
	"net/netip"
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

// fixedFetcher replies the same to each fetch.
type fixedFetcher struct{ reply Reply }

func (f fixedFetcher) Fetch(context.Context, netip.AddrPort) Reply { return f.reply }

// TestWait guards against a daemon that waits for seeds which will never have anything, and against one that reads the store although a seed
// follows it.
func TestWait(t *testing.T) {
	seed, self := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	cases := []struct {
		name  string
		reply Reply
		seeds []netip.AddrPort
		// reads means that the daemon reads the store within most, rather than waiting for longer than a minute.
		reads bool
		most  time.Duration
	}{
		{"without seeds, the store is read at once", Reply{}, nil, true, 0},
		{"a seed reads the store at once", Reply{}, []netip.AddrPort{seed, self}, true, 0},
		{"seeds that don't reply are waited for some seconds", Reply{}, []netip.AddrPort{seed}, true, 4 * time.Second},
		{"a seed of a small fleet that can't read the store is not waited for", Reply{Outcome: Outdated, Daemons: 17}, []netip.AddrPort{seed}, true, time.Second},
		{"nor is one that doesn't say how large the fleet is", Reply{Outcome: Outdated}, []netip.AddrPort{seed}, true, time.Second},
		{"a seed that follows the store is waited for", Reply{Outcome: Current}, []netip.AddrPort{seed}, false, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			var took time.Duration
			var loaded bool
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				started := time.Now()
				loaded = NewLoader(fixedFetcher{c.reply}, self, c.seeds).Wait(ctx)
				took = time.Since(started)
			})
			So(loaded, ShouldBeFalse)
			if c.reads {
				So(took, ShouldBeLessThanOrEqualTo, c.most)
			} else {
				So(took, ShouldEqual, time.Minute)
			}
		})
	}
	Convey("A daemon that gets a copy during its wait is loaded", t, func() {
		var loaded bool
		synctest.Test(t, func(t *testing.T) {
			loader := NewLoader(fixedFetcher{Reply{Outcome: Current}}, self, []netip.AddrPort{seed})
			time.AfterFunc(time.Second, loader.SetLoaded)
			loaded = loader.Wait(t.Context())
		})
		So(loaded, ShouldBeTrue)
	})
}
