package rates

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// schedule is a random sequence of faults in a simulation.
type schedule struct {
	sim    *Simulation
	listed []*Host
	// listChanges holds the times of recent changes of the host list. They are limited, since lists in use at the same time must
	// differ by less than a third.
	listChanges []time.Time
	// planDoubled and planRemoved are the current changes of the plans. appliedSince is when all processes had applied the
	// latest plans, from which time on the lower plan is checked.
	planDoubled  bool
	planRemoved  bool
	appliedSince time.Time
}

const (
	scheduleHosts = 7
	// maxStaleTime is longer than any host may act on an old list.
	maxStaleTime = 30 * time.Second
	// maxRecentChanges is how many of the seven hosts may join or leave within twice that time.
	maxRecentChanges = 2
)

func newSchedule(t *rapid.T, limits rate.Limits, opts ...rate.MembershipOption) *schedule {
	sim := NewSimulation(rapid.Uint64().Draw(t, "seed"), Lending, limits, testPlans, opts...)
	sim.Network = Network{
		MinDelay: 200 * time.Microsecond, DelaySpread: 2 * time.Millisecond,
		LossFraction:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost"),
		DuplicateFraction: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled"),
		LateFraction:      rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late"), MaxLateness: 3 * time.Second,
	}
	sim.DeclineFraction = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "overload")
	sim.MaxDeclineDelay = 400 * time.Millisecond
	for range scheduleHosts {
		sim.AddHost()
	}
	s := &schedule{sim: sim, listed: append([]*Host(nil), sim.Hosts()...)}
	sim.Publish(s.listed)
	for i, h := range sim.hosts {
		startCallers(sim, h, "large", []float64{80, 30, 5}[i%3])
		startCallers(sim, h, "middle", 8)
		startCallers(sim, h, "tiny", 1)
	}
	return s
}

func (s *schedule) host(t *rapid.T) *Host {
	return s.sim.hosts[rapid.IntRange(0, len(s.sim.hosts)-1).Draw(t, "host")]
}

// mayChange reports whether the host list may change now, and if so records the change.
func (s *schedule) mayChange() bool {
	recent := s.listChanges[:0]
	for _, at := range s.listChanges {
		if s.sim.Now.Sub(at) < 2*maxStaleTime {
			recent = append(recent, at)
		}
	}
	s.listChanges = recent
	if len(recent) >= maxRecentChanges {
		return false
	}
	s.listChanges = append(s.listChanges, s.sim.Now)
	return true
}

// publishPlans changes the plans. Until every process has applied them, the higher of the old and the new plan is checked.
func (s *schedule) publishPlans() {
	plans := slices.Clone(testPlans)
	if s.planDoubled {
		plans[1].Rate *= 2
		plans[1].Burst *= 2
		s.sim.Checker.SetPlan("middle", plans[1].Rate, float64(plans[1].Burst), s.sim.Now)
	}
	if s.planRemoved {
		plans = plans[:2]
	}
	s.sim.SetPlans(plans)
	s.appliedSince = time.Time{}
}

// checkLowerPlan makes the checker use the lower plan once every process has had it for more than twice the time of a loan.
func (s *schedule) checkLowerPlan() {
	sim := s.sim
	switch {
	case s.planDoubled || !sim.PlansApplied():
		s.appliedSince = time.Time{}
	case s.appliedSince.IsZero():
		s.appliedSince = sim.Now
	case sim.Now.Sub(s.appliedSince) > 2*testLimits.Loan:
		sim.Checker.SetPlan("middle", testPlans[1].Rate, float64(testPlans[1].Burst), sim.Now)
	}
}

func (s *schedule) step(t *rapid.T) {
	sim := s.sim
	h := s.host(t)
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0:
		sim.Crash(h)
	case 1, 2:
		if h.Alive() {
			sim.Leave(h)
		}
	case 3, 4:
		sim.Restart(h)
	case 5:
		sim.Pause(h)
	case 6:
		if h.paused {
			sim.Resume(h)
		}
	case 7:
		side := rapid.IntRange(1, scheduleHosts-1).Draw(t, "side")
		sim.Partition(func(a, b *Host) bool { return (a.Number <= side) != (b.Number <= side) })
	case 8:
		sim.Heal()
	case 9:
		sim.SetStale(h, !h.stale)
	case 10:
		if s.mayChange() {
			s.removeFromList(h)
		}
	case 11:
		if s.mayChange() {
			s.addToList(h)
		}
	case 12:
		s.planDoubled = !s.planDoubled
		s.publishPlans()
	case 13:
		s.planRemoved = !s.planRemoved
		s.publishPlans()
	}
	sim.Run(time.Duration(rapid.SampledFrom([]int{10, 200, 2000, 9000, 25000}).Draw(t, "ms")) * time.Millisecond)
}

func (s *schedule) removeFromList(h *Host) {
	var remaining []*Host
	for _, e := range s.listed {
		if e != h {
			remaining = append(remaining, e)
		}
	}
	s.listed = remaining
	s.sim.Publish(remaining)
}

func (s *schedule) addToList(h *Host) {
	s.removeFromList(h)
	s.listed = append(s.listed, h)
	s.sim.Publish(s.listed)
}

const scheduleSteps = 25

// Guards against admitting more than an organisation's burst and rate, at the cost of other organisations, while messages are
// lost, duplicated and late, processes pause, crash and restart, the network is partitioned and some hosts read stale lists.
func TestInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t, testLimits)
		s.sim.Run(3 * time.Second)
		for range scheduleSteps {
			s.step(t)
			s.checkLowerPlan()
			if s.sim.Checker.Excess > 0 {
				t.Fatalf("%.2f tokens above the limit, first at %s; %+v", s.sim.Checker.Excess, s.sim.Checker.FirstExcess.Sub(Start), s.sim.Counts)
			}
		}
		if s.sim.Counts.Admitted == 0 {
			t.Fatalf("no request was admitted; expected at least one")
		}
	})
}
