package rates

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

var testPlans = []lists.Organisation{
	{Organisation: "large", Plan: "full", Rate: 100, Burst: 40},
	{Organisation: "middle", Plan: "full", Rate: 20, Burst: 10},
	{Organisation: "tiny", Plan: "full", Rate: 0.5, Burst: 1},
}

var testLimits = rate.Limits{Fence: 20 * time.Second, Loan: 500 * time.Millisecond, Shards: 4}

func steady(w *World, h *Host, organisation string, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		w.Arrive(h, organisation)
		w.After(w.rngTime(2*gap)+1, next)
	}
	w.After(w.rngTime(gap)+1, next)
}

func newTestWorld(seed uint64, hosts int, opts ...rate.MembershipOption) *World {
	return populate(NewWorld(seed, Lending, testLimits, testPlans, opts...), hosts)
}

// populate gives a world its hosts and the list that names them.
func populate(w *World, hosts int) *World {
	for range hosts {
		w.AddHost()
	}
	w.Publish(w.Hosts())
	return w
}

// cutOffHome cuts one home off with callers of its own, and the list drops it.
func cutOffHome(w *World) {
	w.Run(5 * time.Second)
	for _, e := range w.hosts {
		steady(w, e, "large", 100)
	}
	w.Run(2 * time.Second)
	h := busiest(w)
	w.Cut(func(a, b *Host) bool { return (a == h) != (b == h) })
	w.SetStale(h, true)
	var rest []*Host
	for _, e := range w.hosts {
		if e != h {
			rest = append(rest, e)
		}
	}
	w.Publish(rest)
	w.Run(3 * testLimits.Fence)
}

// busiest returns the home of the most shards.
func busiest(w *World) *Host {
	best := w.hosts[0]
	for _, h := range w.hosts {
		if h.home.Status(w.Now).Shards > best.home.Status(w.Now).Shards {
			best = h
		}
	}
	return best
}

// A home is cut off, reads a stale list and keeps its callers, while the
// platform drops it and others take its shards over.
func TestCheckerCatches(t *testing.T) {
	one := rate.WithQuorum(func(int) int { return 1 })
	short := testLimits
	short.Fence = testLimits.Fence / 10
	cases := []struct {
		name   string
		run    func() *World
		unsafe bool
	}{
		{"the way in use", func() *World {
			w := newTestWorld(1, 5)
			cutOffHome(w)
			return w
		}, false},
		{"full rate on each host", func() *World {
			w := populate(NewWorld(1, Full, testLimits, testPlans), 5)
			cutOffHome(w)
			return w
		}, true},
		{"equal split over lists of different length", func() *World {
			w := populate(NewWorld(1, Equal, testLimits, testPlans), 5)
			cutOffHome(w)
			return w
		}, true},
		{"confirmation by the platform alone, with a stale replica", func() *World {
			w := newTestWorld(1, 5, one)
			cutOffHome(w)
			return w
		}, true},
		{"fence shorter than the cut-off home's tenure", func() *World {
			w := newTestWorld(1, 5)
			w.Run(5 * time.Second)
			steady(w, w.hosts[0], "large", 100)
			w.Run(time.Second)
			home := busiest(w)
			w.limits = short
			for _, h := range w.hosts {
				if h != home {
					w.Restart(h)
				}
			}
			cutOffHome(w)
			return w
		}, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			w := c.run()
			t.Logf("%s: %.1f tokens over; %+v", c.name, w.Checker.Excess, w.Counts)
			So(w.Counts.Admitted, ShouldBeGreaterThan, 1000)
			So(w.Checker.Excess > 0, ShouldEqual, c.unsafe)
		})
	}
}

// Callers of one organisation come in at one host only, at four fifths of its
// rate. With an equal split four in five of them would be refused; a user notices nothing here.
func TestSkew(t *testing.T) {
	Convey("nearly all of the rate is had at one host", t, func() {
		w := newTestWorld(1, 5)
		w.Run(5 * time.Second)
		steady(w, w.hosts[0], "large", 80)
		steady(w, w.hosts[1], "middle", 16)
		steady(w, w.hosts[2], "tiny", 0.3)
		w.Run(5 * time.Second)
		w.Counts = Counts{}
		w.Run(60 * time.Second)
		t.Logf("%+v", w.Counts)
		So(w.Checker.Excess, ShouldEqual, 0)
		So(w.Counts.Wrongful(), ShouldBeLessThan, w.Counts.Arrivals/50)
	})
}

// Callers of small organisations come in at every one of many hosts, now and
// then. Were a token kept ready at each host, or were only whole tokens
// lent, a small organisation would be refused half of what its plan allows while the
// fleet's mean looks fine.
func TestSmallOrganisations(t *testing.T) {
	plans := []lists.Organisation{
		{Organisation: "small", Plan: "p", Rate: 4, Burst: 8},
		{Organisation: "steady", Plan: "p", Rate: 20, Burst: 40},
	}
	cases := []struct {
		name  string
		hosts int
	}{
		{"few hosts", 6},
		{"more hosts than tokens", 40},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			w := populate(NewWorld(1, Lending, rate.DefaultLimits(), plans), c.hosts)
			w.Run(10 * time.Second)
			for i, o := range plans {
				w.offer(o, i, Uniform, c.hosts)
			}
			w.Run(20 * time.Second)
			w.Reset()
			w.Run(3 * time.Minute)
			for _, tally := range w.Tallies() {
				t.Logf("%+v", tally)
				So(tally.Percent(), ShouldBeLessThan, 8)
			}
			So(w.Checker.Excess, ShouldEqual, 0)
		})
	}
}

// The whole fleet starts at once, with empty buckets since nobody can tell what was
// spent before. A caller of a small organisation should wait for the rate's own
// time for a token, not for that of each of its shards.
func TestColdStart(t *testing.T) {
	plans := []lists.Organisation{{Organisation: "small", Plan: "p", Rate: 1, Burst: 8}}
	Convey("the first token is there soon after the homes may lend", t, func() {
		w := populate(NewWorld(1, Lending, rate.DefaultLimits(), plans), 15)
		var ask func()
		ask = func() {
			w.Arrive(w.hosts[w.rng.IntN(len(w.hosts))], "small")
			w.After(100*time.Millisecond, ask)
		}
		w.After(0, ask)
		for w.Counts.Admitted == 0 && w.Now.Sub(Start) < time.Minute {
			w.Run(100 * time.Millisecond)
		}
		first := w.Now.Sub(Start)
		w.Run(10 * time.Second)
		t.Logf("first token after %s, then %d in 10 s", first, w.Counts.Admitted)
		So(first, ShouldBeLessThan, 3500*time.Millisecond)
		So(w.Counts.Admitted, ShouldBeBetweenOrEqual, 8, 12)
		So(w.Checker.Excess, ShouldEqual, 0)
	})
}

// An overloaded service turns three in ten requests away after they had their token,
// at the door or after a wait in a queue. Were all those tokens lost, a caller inside its rate
// would pay for the service's trouble.
func TestTurnedAway(t *testing.T) {
	cases := []struct {
		name  string
		by    time.Duration
		least float64
	}{
		{"at the door, all come back", time.Millisecond, 0.95},
		{"after up to 400 ms in a queue, those that no question has told of", 400 * time.Millisecond, 0.15},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			w := populate(NewWorld(1, Lending, rate.DefaultLimits(), Organisations()), 15)
			w.Overload, w.OverloadBy = 0.3, c.by
			w.Run(10 * time.Second)
			for i, o := range w.plans {
				w.offer(o, i, Uniform, 15)
			}
			w.Run(20 * time.Second)
			w.Reset()
			w.Run(time.Minute)
			t.Logf("%+v", w.Counts)
			So(float64(w.Counts.GivenBack)/float64(w.Counts.TurnedAway), ShouldBeGreaterThan, c.least)
			So(w.Checker.Excess, ShouldEqual, 0)
		})
	}
}
