package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// model is an upstream with a number of slots, which queues or sheds the runs beyond them; it always has as many runs as the limit allows.
type model struct {
	slots int
	sheds bool
	// sample returns the operation and the latency of one run without queueing.
	sample func() (string, time.Duration)
}

// drive feeds a learner for some time and returns the lowest and the last limit of the second half, and the time at its end.
func (m *model) drive(l Learner, now time.Time, length time.Duration) (lowest, last int, end time.Time) {
	lowest = math.MaxInt
	for half, end := now.Add(length/2), now.Add(length); now.Before(end); {
		inFlight := l.Limit()
		operation, latency := m.sample()
		s := Sample{Operation: operation, Latency: latency, InFlight: inFlight}
		if inFlight > m.slots {
			s.Latency = latency * time.Duration(inFlight) / time.Duration(m.slots)
			s.Shed = m.sheds
		}
		now = now.Add(s.Latency / time.Duration(inFlight))
		l.Learn(now, s)
		if now.After(half) {
			lowest = min(lowest, l.Limit())
		}
	}
	return lowest, l.Limit(), now
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
	exponential := func() (string, time.Duration) {
		return "op", time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
	}
	cases := []struct {
		name               string
		model              model
		minLowest, maxLast int
	}{
		{"enough slots: the ceiling is reached", model{slots: 64, sample: steady(5 * time.Millisecond)}, 60, 64},
		{"queueing inside the upstream lowers the limit", model{slots: 20, sample: steady(5 * time.Millisecond)}, 14, 40},
		{"shedding lowers the limit", model{slots: 20, sheds: true, sample: steady(5 * time.Millisecond)}, 14, 22},
		{"a mix of long and short runs doesn't collapse the limit", model{slots: 64, sample: mixed}, 55, 64},
		{"queueing inside the upstream lowers the limit when latencies vary widely", model{slots: 20, sample: exponential}, 10, 50},
		{"latencies that vary widely don't collapse the limit", model{slots: 64, sample: exponential}, 40, 64},
	}
	for _, c := range cases {
		for _, kind := range []Kind{Gradient, AIMD} {
			Convey(c.name+" "+kind.String(), t, func() {
				l := New(kind, 64)
				So(l.Limit(), ShouldBeLessThanOrEqualTo, 8)
				lowest, last, _ := c.model.drive(l, time.Unix(0, 0), 40*time.Second)
				So(lowest, ShouldBeGreaterThanOrEqualTo, c.minLowest)
				So(last, ShouldBeLessThanOrEqualTo, c.maxLast)
			})
		}
	}
	Convey("A fixed limit doesn't change", t, func() {
		l := New(Fixed, 7)
		l.Learn(time.Unix(0, 0), Sample{Shed: true, InFlight: 1})
		So(l.Limit(), ShouldEqual, 7)
	})
}

// Guards against a baseline that stays at a cold upstream's latency: its first runs take ten times as long, and with them as the
// baseline requests would queue inside it unnoticed.
func TestColdStartIsNotTheBaseline(t *testing.T) {
	Convey("The limit falls to the slots although the first runs were slow", t, func() {
		l := NewGradient(64)
		m := model{slots: 64, sample: steady(50 * time.Millisecond)}
		_, _, now := m.drive(l, time.Unix(0, 0), 500*time.Millisecond)
		m = model{slots: 20, sample: steady(5 * time.Millisecond)}
		_, last, _ := m.drive(l, now, 20*time.Second)
		So(last, ShouldBeBetweenOrEqual, 10, 40)
	})
}

// Guards against a limit that stays low after a release makes every run of an upstream five times as slow at any load: the service
// would never again run more than a few requests at once although it could.
func TestSlowerReleaseIsAccepted(t *testing.T) {
	Convey("The limit recovers if lowering it hasn't lowered the latency", t, func() {
		l := NewGradient(64)
		m := model{slots: 64, sample: steady(5 * time.Millisecond)}
		_, last, now := m.drive(l, time.Unix(0, 0), 10*time.Second)
		So(last, ShouldEqual, 64)
		m.sample = steady(25 * time.Millisecond)
		_, last, _ = m.drive(l, now, 20*time.Second)
		So(last, ShouldBeGreaterThanOrEqualTo, 60)
	})
}

// Guards against a limit that falls to one request at a time: an upstream can shed for reasons other than load, such as a failing check.
func TestShedsKeepTheFloor(t *testing.T) {
	Convey("Sheds alone take the limit no lower than its floor", t, func() {
		l, now := NewGradient(64), time.Unix(0, 0)
		for range 10_000 {
			now = now.Add(time.Millisecond)
			l.Learn(now, Sample{Operation: "op", InFlight: 1, Shed: true})
		}
		So(l.Limit(), ShouldEqual, 6)
	})
}

// Guards against a limit that never grows from a low fractional value: a service is ten times as slow for a while, and its limit falls
// to a few runs and a fraction. If the fraction counted towards the slots in use, the limit would never look used up, and callers would
// be refused while the instance runs one request at a time.
func TestGrowthFromLowLimit(t *testing.T) {
	for _, from := range []float64{1, 1.2, 1.5, 1.99, 2.502, 2.9, 3.3} {
		gradient, aimd := NewGradient(12), NewAIMD(12)
		gradient.limit, gradient.ramping, aimd.limit = from, false, from
		for _, l := range []Learner{gradient, aimd} {
			Convey(fmt.Sprintf("%T at %g returns to the ceiling once runs are fast", l, from), t, func() {
				m := model{slots: 12, sample: steady(20 * time.Millisecond)}
				_, last, _ := m.drive(l, time.Unix(0, 0), 20*time.Second)
				So(last, ShouldBeGreaterThanOrEqualTo, 10)
			})
		}
	}
}
