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

func startCallers(sim *Simulation, h *Host, organisation string, perSecond float64) {
	interval := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		sim.Arrive(h, organisation)
		sim.After(sim.randomDuration(2*interval)+1, next)
	}
	sim.After(sim.randomDuration(interval)+1, next)
}

func newTestSimulation(seed uint64, hosts int, opts ...rate.MembershipOption) *Simulation {
	return addHosts(NewSimulation(seed, Lending, testLimits, testPlans, opts...), hosts)
}

// addHosts adds hosts to a simulation and publishes the host list.
func addHosts(sim *Simulation, hosts int) *Simulation {
	for range hosts {
		sim.AddHost()
	}
	sim.Publish(sim.Hosts())
	return sim
}

// partitionHome partitions one home that still has callers, with a stale host list, and removes it from the list.
func partitionHome(sim *Simulation) {
	sim.Run(5 * time.Second)
	for _, e := range sim.hosts {
		startCallers(sim, e, "large", 100)
	}
	sim.Run(2 * time.Second)
	h := busiest(sim)
	sim.Partition(func(a, b *Host) bool { return (a == h) != (b == h) })
	sim.SetStale(h, true)
	var remaining []*Host
	for _, e := range sim.hosts {
		if e != h {
			remaining = append(remaining, e)
		}
	}
	sim.Publish(remaining)
	sim.Run(3 * testLimits.Fence)
}

// busiest returns the home of the most shards.
func busiest(sim *Simulation) *Host {
	best := sim.hosts[0]
	for _, h := range sim.hosts {
		if h.home.Status(sim.Now).Shards > best.home.Status(sim.Now).Shards {
			best = h
		}
	}
	return best
}

// Guards against a checker that misses violations: a partitioned home reads a stale list and keeps its callers, while the
// list drops it and others take over its shards.
func TestCheckerDetectsUnsafeVariants(t *testing.T) {
	quorumOfOne := rate.WithQuorum(func(int) int { return 1 })
	shortFence := testLimits
	shortFence.Fence = testLimits.Fence / 10
	cases := []struct {
		name     string
		run      func() *Simulation
		violates bool
	}{
		{"lending of tokens", func() *Simulation {
			sim := newTestSimulation(1, 5)
			partitionHome(sim)
			return sim
		}, false},
		{"full rate on each host", func() *Simulation {
			sim := addHosts(NewSimulation(1, FullRate, testLimits, testPlans), 5)
			partitionHome(sim)
			return sim
		}, true},
		{"equal split with host lists of different lengths", func() *Simulation {
			sim := addHosts(NewSimulation(1, EqualSplit, testLimits, testPlans), 5)
			partitionHome(sim)
			return sim
		}, true},
		{"membership confirmed by the configuration store alone, with a stale replica", func() *Simulation {
			sim := newTestSimulation(1, 5, quorumOfOne)
			partitionHome(sim)
			return sim
		}, true},
		{"fence shorter than the time for which the partitioned home keeps its shards", func() *Simulation {
			sim := newTestSimulation(1, 5)
			sim.Run(5 * time.Second)
			startCallers(sim, sim.hosts[0], "large", 100)
			sim.Run(time.Second)
			home := busiest(sim)
			sim.limits = shortFence
			for _, h := range sim.hosts {
				if h != home {
					sim.Restart(h)
				}
			}
			partitionHome(sim)
			return sim
		}, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			sim := c.run()
			t.Logf("%s: %.1f tokens above the limit; %+v", c.name, sim.Checker.Excess, sim.Counts)
			So(sim.Counts.Admitted, ShouldBeGreaterThan, 1000)
			So(sim.Checker.Excess > 0, ShouldEqual, c.violates)
		})
	}
}

// Guards against dividing rates by host: callers of an organisation arrive at one host only, at four fifths of its rate, and
// an equal split would refuse four in five of them.
func TestSkewedArrivals(t *testing.T) {
	Convey("one host gets nearly all of the rate", t, func() {
		sim := newTestSimulation(1, 5)
		sim.Run(5 * time.Second)
		startCallers(sim, sim.hosts[0], "large", 80)
		startCallers(sim, sim.hosts[1], "middle", 16)
		startCallers(sim, sim.hosts[2], "tiny", 0.3)
		sim.Run(5 * time.Second)
		sim.Counts = Counts{}
		sim.Run(60 * time.Second)
		t.Logf("%+v", sim.Counts)
		So(sim.Checker.Excess, ShouldEqual, 0)
		So(sim.Counts.Wrongful(), ShouldBeLessThan, sim.Counts.Arrivals/50)
	})
}

// Guards against refusing half of what a small organisation's plan allows while the fleet's mean looks fine. Its requests
// arrive now and then at each of many hosts; the refusals come about if each host keeps a token in stock or only whole
// tokens are lent.
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
			sim := addHosts(NewSimulation(1, Lending, rate.DefaultLimits(), plans), c.hosts)
			sim.Run(10 * time.Second)
			for i, o := range plans {
				sim.startArrivals(o, i, Uniform, c.hosts)
			}
			sim.Run(20 * time.Second)
			sim.Reset()
			sim.Run(3 * time.Minute)
			for _, counts := range sim.OrganisationCounts() {
				t.Logf("%+v", counts)
				So(counts.Percent(), ShouldBeLessThan, 8)
			}
			So(sim.Checker.Excess, ShouldEqual, 0)
		})
	}
}

// Guards against a long wait after a cold start, where buckets begin empty because nobody knows what was spent before. A
// caller of a small organisation should wait for a token at the organisation's rate, not at that of one of its shards.
func TestColdStart(t *testing.T) {
	plans := []lists.Organisation{{Organisation: "small", Plan: "p", Rate: 1, Burst: 8}}
	Convey("the first token is available soon after the homes may lend", t, func() {
		sim := addHosts(NewSimulation(1, Lending, rate.DefaultLimits(), plans), 15)
		var sendRequest func()
		sendRequest = func() {
			sim.Arrive(sim.hosts[sim.rng.IntN(len(sim.hosts))], "small")
			sim.After(100*time.Millisecond, sendRequest)
		}
		sim.After(0, sendRequest)
		for sim.Counts.Admitted == 0 && sim.Now.Sub(Start) < time.Minute {
			sim.Run(100 * time.Millisecond)
		}
		first := sim.Now.Sub(Start)
		sim.Run(10 * time.Second)
		t.Logf("first token after %s, then %d in 10 s", first, sim.Counts.Admitted)
		So(first, ShouldBeLessThan, 3500*time.Millisecond)
		So(sim.Counts.Admitted, ShouldBeBetweenOrEqual, 8, 12)
		So(sim.Checker.Excess, ShouldEqual, 0)
	})
}

// Guards against losing the tokens of requests that an overloaded service declines, at once or after a wait in a queue; callers
// within their rate would then be refused.
func TestDeclinedRequests(t *testing.T) {
	cases := []struct {
		name        string
		maxDelay    time.Duration
		minReturned float64
	}{
		{"declined at once: nearly all tokens return", time.Millisecond, 0.95},
		{"declined after up to 400 ms in a queue: tokens not yet reported as spent return", 400 * time.Millisecond, 0.15},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			sim := addHosts(NewSimulation(1, Lending, rate.DefaultLimits(), Organisations()), 15)
			sim.DeclineFraction, sim.MaxDeclineDelay = 0.3, c.maxDelay
			sim.Run(10 * time.Second)
			for i, o := range sim.plans {
				sim.startArrivals(o, i, Uniform, 15)
			}
			sim.Run(20 * time.Second)
			sim.Reset()
			sim.Run(time.Minute)
			t.Logf("%+v", sim.Counts)
			So(float64(sim.Counts.TokensReturned)/float64(sim.Counts.Declined), ShouldBeGreaterThan, c.minReturned)
			So(sim.Checker.Excess, ShouldEqual, 0)
		})
	}
}
