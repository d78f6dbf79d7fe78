package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// model is an upstream with slots that queues inside beyond them, kept busy at the limit.
type model struct {
	slots int
	sheds bool
	// own returns operation and latency of one run without queueing.
	own func() (string, time.Duration)
}

// drive feeds a learner for some time and returns the least and last limit of the second half.
func (m *model) drive(l Learner, now time.Time, length time.Duration) (least, last int, end time.Time) {
	least = math.MaxInt
	for half, end := now.Add(length/2), now.Add(length); now.Before(end); {
		n := l.Limit()
		operation, own := m.own()
		s := Sample{Operation: operation, Latency: own, InFlight: n}
		if n > m.slots {
			s.Latency = own * time.Duration(n) / time.Duration(m.slots)
			s.Shed = m.sheds
		}
		now = now.Add(s.Latency / time.Duration(n))
		l.Learn(now, s)
		if now.After(half) {
			least = min(least, l.Limit())
		}
	}
	return least, l.Limit(), now
}

func steady(d time.Duration) func() (string, time.Duration) {
	return func() (string, time.Duration) { return "op", d }
}

func TestLearners(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	mixed := func() (string, time.Duration) {
		if random.IntN(10) == 0 {
			return "file", 400 * time.Millisecond
		}
		return "lookup", 5 * time.Millisecond
	}
	spread := func() (string, time.Duration) {
		return "op", time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
	}
	cases := []struct {
		name        string
		model       model
		least, most int
	}{
		{"enough slots: the ceiling is reached", model{slots: 64, own: steady(5 * time.Millisecond)}, 60, 64},
		{"queueing inside is found", model{slots: 20, own: steady(5 * time.Millisecond)}, 14, 40},
		{"shedding is found", model{slots: 20, sheds: true, own: steady(5 * time.Millisecond)}, 14, 22},
		{"long and short work don't collapse it", model{slots: 64, own: mixed}, 55, 64},
		{"queueing inside is found in widely spread latencies", model{slots: 20, own: spread}, 10, 50},
		{"widely spread latencies don't collapse it", model{slots: 64, own: spread}, 40, 64},
	}
	for _, c := range cases {
		for _, kind := range []Kind{Gradient, AIMD} {
			Convey(c.name+" "+kind.String(), t, func() {
				l := New(kind, 64)
				So(l.Limit(), ShouldBeLessThanOrEqualTo, 8)
				least, last, _ := c.model.drive(l, time.Unix(0, 0), 40*time.Second)
				So(least, ShouldBeGreaterThanOrEqualTo, c.least)
				So(last, ShouldBeLessThanOrEqualTo, c.most)
			})
		}
	}
	Convey("A fixed limit stays", t, func() {
		l := New(Fixed, 7)
		l.Learn(time.Unix(0, 0), Sample{Shed: true, InFlight: 1})
		So(l.Limit(), ShouldEqual, 7)
	})
}

// An upstream starts cold, and its first runs take ten times as long. Were they
// to stay the baseline, requests would queue inside it before anyone noticed.
func TestColdStartIsNotTheBaseline(t *testing.T) {
	Convey("The limit comes down to the slots although the first runs were slow", t, func() {
		l := NewGradient(64)
		m := model{slots: 64, own: steady(50 * time.Millisecond)}
		_, _, now := m.drive(l, time.Unix(0, 0), 500*time.Millisecond)
		m = model{slots: 20, own: steady(5 * time.Millisecond)}
		_, last, _ := m.drive(l, now, 20*time.Second)
		So(last, ShouldBeBetweenOrEqual, 10, 40)
	})
}

// A release makes every run of an upstream five times as slow, at any load.
// Callers would see a service that never again runs more than a few requests
// at once although it could.
func TestSlowerReleaseIsAccepted(t *testing.T) {
	Convey("The limit comes back once lowering it has not helped", t, func() {
		l := NewGradient(64)
		m := model{slots: 64, own: steady(5 * time.Millisecond)}
		_, last, now := m.drive(l, time.Unix(0, 0), 10*time.Second)
		So(last, ShouldEqual, 64)
		m.own = steady(25 * time.Millisecond)
		_, last, _ = m.drive(l, now, 20*time.Second)
		So(last, ShouldBeGreaterThanOrEqualTo, 60)
	})
}

// Shed answers can come for reasons other than load, such as a check that fails.
// Callers would see a service that takes one request at a time.
func TestShedsCannotEmptyTheUpstream(t *testing.T) {
	Convey("Sheds alone take the limit no lower than its floor", t, func() {
		l, now := NewGradient(64), time.Unix(0, 0)
		for range 10_000 {
			now = now.Add(time.Millisecond)
			l.Learn(now, Sample{Operation: "op", InFlight: 1, Shed: true})
		}
		So(l.Limit(), ShouldEqual, 6)
	})
}

// A deep service is ten times as slow for a while, and its limit falls to few
// runs at once and a part of one. If the part counted when the learner looks
// whether the limit is in use, it would never be, and the instance would stay at
// one run at once for good while callers are refused for its sake.
func TestGrowthFromFew(t *testing.T) {
	for _, from := range []float64{1, 1.2, 1.5, 1.99, 2.502, 2.9, 3.3} {
		gradient, aimd := NewGradient(12), NewAIMD(12)
		gradient.limit, gradient.ramping, aimd.limit = from, false, from
		for _, l := range []Learner{gradient, aimd} {
			Convey(fmt.Sprintf("%T at %g comes back to the ceiling once runs are quick", l, from), t, func() {
				m := model{slots: 12, own: steady(20 * time.Millisecond)}
				_, last, _ := m.drive(l, time.Unix(0, 0), 20*time.Second)
				So(last, ShouldBeGreaterThanOrEqualTo, 10)
			})
		}
	}
}
