package rates

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// schedule is a random course of faults over a world.
type schedule struct {
	world  *World
	listed []*Host
	// changed are the times of recent changes of the list: lists in use at once differ by less than a third.
	changed []time.Time
	// doubled and lacking tell how the plans stand; lowered waits until every process knows.
	doubled bool
	lacking bool
	known   time.Time
}

const (
	scheduleHosts = 7
	// farApart is longer than any host may act on an old list.
	farApart = 30 * time.Second
	// changesAtOnce is how many hosts of seven may enter or leave within that time.
	changesAtOnce = 2
)

func newSchedule(t *rapid.T, l rate.Limits, opts ...rate.MembershipOption) *schedule {
	w := NewWorld(rapid.Uint64().Draw(t, "seed"), Lending, l, testPlans, opts...)
	w.Network = Network{
		Least: 200 * time.Microsecond, Spread: 2 * time.Millisecond,
		Lost:    rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost"),
		Doubled: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled"),
		Late:    rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late"), LateBy: 3 * time.Second,
	}
	w.Overload = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "overload")
	w.OverloadBy = 400 * time.Millisecond
	for range scheduleHosts {
		w.AddHost()
	}
	s := &schedule{world: w, listed: append([]*Host(nil), w.Hosts()...)}
	w.Publish(s.listed)
	for i, h := range w.hosts {
		steady(w, h, "large", []float64{80, 30, 5}[i%3])
		steady(w, h, "middle", 8)
		steady(w, h, "tiny", 1)
	}
	return s
}

func (s *schedule) host(t *rapid.T) *Host {
	return s.world.hosts[rapid.IntRange(0, len(s.world.hosts)-1).Draw(t, "host")]
}

// mayChange keeps to the bound on how far lists in use at once may differ.
func (s *schedule) mayChange() bool {
	recent := s.changed[:0]
	for _, at := range s.changed {
		if s.world.Now.Sub(at) < 2*farApart {
			recent = append(recent, at)
		}
	}
	s.changed = recent
	if len(recent) >= changesAtOnce {
		return false
	}
	s.changed = append(s.changed, s.world.Now)
	return true
}

// publishPlans changes the plans. Until every process knows, the greater of old and new counts.
func (s *schedule) publishPlans() {
	plans := slices.Clone(testPlans)
	if s.doubled {
		plans[1].Rate *= 2
		plans[1].Burst *= 2
		s.world.Checker.SetPlan("middle", plans[1].Rate, float64(plans[1].Burst), s.world.Now)
	}
	if s.lacking {
		plans = plans[:2]
	}
	s.world.SetPlans(plans)
	s.known = time.Time{}
}

// settlePlans measures by the lower plan once every process has known it for longer than a loan.
func (s *schedule) settlePlans() {
	w := s.world
	switch {
	case s.doubled || !w.PlansKnown():
		s.known = time.Time{}
	case s.known.IsZero():
		s.known = w.Now
	case w.Now.Sub(s.known) > 2*testLimits.Loan:
		w.Checker.SetPlan("middle", testPlans[1].Rate, float64(testPlans[1].Burst), w.Now)
	}
}

func (s *schedule) step(t *rapid.T) {
	w := s.world
	h := s.host(t)
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0:
		w.Crash(h)
	case 1, 2:
		if h.Alive() {
			w.Leave(h)
		}
	case 3, 4:
		w.Restart(h)
	case 5:
		w.Pause(h)
	case 6:
		if h.paused {
			w.Resume(h)
		}
	case 7:
		side := rapid.IntRange(1, scheduleHosts-1).Draw(t, "side")
		w.Cut(func(a, b *Host) bool { return (a.Number <= side) != (b.Number <= side) })
	case 8:
		w.Heal()
	case 9:
		w.SetStale(h, !h.stale)
	case 10:
		if s.mayChange() {
			s.drop(h)
		}
	case 11:
		if s.mayChange() {
			s.join(h)
		}
	case 12:
		s.doubled = !s.doubled
		s.publishPlans()
	case 13:
		s.lacking = !s.lacking
		s.publishPlans()
	}
	w.Run(time.Duration(rapid.SampledFrom([]int{10, 200, 2000, 9000, 25000}).Draw(t, "ms")) * time.Millisecond)
}

func (s *schedule) drop(h *Host) {
	var rest []*Host
	for _, e := range s.listed {
		if e != h {
			rest = append(rest, e)
		}
	}
	s.listed = rest
	s.world.Publish(rest)
}

func (s *schedule) join(h *Host) {
	s.drop(h)
	s.listed = append(s.listed, h)
	s.world.Publish(s.listed)
}

const scheduleSteps = 25

// Messages are lost, doubled and late, processes pause, end and start again, the fleet
// is cut and some hosts read stale lists. No organisation may ever get more than
// its burst and rate; a user would see a tenant push the others aside.
func TestInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t, testLimits)
		s.world.Run(3 * time.Second)
		for range scheduleSteps {
			s.step(t)
			s.settlePlans()
			if s.world.Checker.Excess > 0 {
				t.Fatalf("%.2f tokens over, first at %s; %+v", s.world.Checker.Excess, s.world.Checker.When.Sub(Start), s.world.Counts)
			}
		}
		if s.world.Counts.Admitted == 0 {
			t.Fatalf("nothing admitted")
		}
	})
}
