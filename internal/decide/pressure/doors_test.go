package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

// drive sends a request each millisecond through the throttles to a service that responds after 10 ms; it returns the fractions of
// requests that were admitted and that succeeded.
func drive(throttles *Throttles, from time.Time, length time.Duration, succeeds func() bool) (admitted, succeeded float64) {
	type pendingResponse struct {
		at       time.Time
		pressure float64
	}
	var waiting []pendingResponse
	total := 0.0
	for now := from; now.Before(from.Add(length)); now = now.Add(ms) {
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			throttles.Observe(now, "o", "op", waiting[0].pressure, 50*ms)
			waiting = waiting[1:]
		}
		total++
		if _, ok := throttles.Admit(now, "o", "op"); !ok {
			continue
		}
		admitted++
		pressure := 1.0
		if succeeds() {
			succeeded++
			pressure = 0
		}
		waiting = append(waiting, pendingResponse{now.Add(10 * ms), pressure})
	}
	return admitted / total, succeeded / total
}

func TestThrottles(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	start := time.Unix(0, 0)
	none := func() bool { return false }
	all := func() bool { return true }
	threeInFive := func() bool { return random.IntN(5) < 3 }
	Convey("Nothing is rejected while all requests succeed", t, func() {
		throttles := New(WithRand(random.Float64))
		admitted, _ := drive(throttles, start, 5*time.Second, all)
		So(admitted, ShouldEqual, 1)
		So(throttles.Len(), ShouldEqual, 0)
	})
	Convey("Requests that would fail deep in the chain are rejected at the ingress, except for a few probes", t, func() {
		throttles := New(WithRand(random.Float64))
		drive(throttles, start, time.Second, none)
		admitted, _ := drive(throttles, start.Add(time.Second), 5*time.Second, none)
		So(admitted, ShouldBeBetween, 0.001, 0.05)
	})
	Convey("Rare refusals cause no rejections", t, func() {
		throttles := New(WithRand(random.Float64))
		_, succeeded := drive(throttles, start, 5*time.Second, func() bool { return random.IntN(5) > 0 })
		So(succeeded, ShouldBeGreaterThan, 0.75)
	})
	Convey("Failures of two in five requests that don't depend on the load cause no lasting rejections", t, func() {
		throttles := New(WithRand(random.Float64))
		_, succeeded := drive(throttles, start, 5*time.Second, threeInFive)
		So(succeeded, ShouldBeGreaterThan, 0.5)
	})
	Convey("Within 2 s of the end of the overload 95% of the requests are admitted, and later all", t, func() {
		throttles := New(WithRand(random.Float64))
		drive(throttles, start, 5*time.Second, none)
		drive(throttles, start.Add(5*time.Second), 1500*ms, all)
		admitted, _ := drive(throttles, start.Add(6500*ms), 500*ms, all)
		So(admitted, ShouldBeGreaterThan, 0.95)
		drive(throttles, start.Add(7*time.Second), 3*time.Second, all)
		So(throttles.Len(), ShouldEqual, 0)
	})
	Convey("One organisation's refusals don't throttle another", t, func() {
		throttles := New(WithRand(random.Float64))
		drive(throttles, start, time.Second, none)
		_, ok := throttles.Admit(start.Add(time.Second), "other", "op")
		So(ok, ShouldBeTrue)
	})
	Convey("The Retry-After delays of rejected requests are spread around the service's own", t, func() {
		throttles := New(WithRand(random.Float64))
		drive(throttles, start, time.Second, none)
		seen := map[time.Duration]bool{}
		for range 100 {
			if retryAfter, ok := throttles.Admit(start.Add(time.Second), "o", "op"); !ok {
				So(retryAfter, ShouldBeBetweenOrEqual, 37*ms, 63*ms)
				seen[retryAfter] = true
			}
		}
		So(len(seen), ShouldBeGreaterThan, 10)
	})
	Convey("The number of throttles is bounded", t, func() {
		throttles := New()
		for i := range 3 * maxThrottles {
			throttles.Observe(start, "o", string(rune(i)), 1, 0)
		}
		So(throttles.Len(), ShouldBeLessThanOrEqualTo, maxThrottles)
	})
}

// Guards against rejecting requests to an idle service. A caller sends a batch of exports at once, more than the queue holds, and the
// rest is refused; the service works off what it accepted. A throttle that still counts those refusals, or takes pending requests for
// failures, would reject part of the next batch each time that one follows a pause.
func TestBurstAfterFlood(t *testing.T) {
	cases := []struct {
		name string
		// sent is the number of requests sent at once, succeed the number of those that succeed, four at a time every 50 ms.
		sent, succeed int
		pause         time.Duration
		burst         int
	}{
		{"immediately after a flood", 60, 12, 0, 8},
		{"a little later", 60, 12, 150 * ms, 8},
		{"after the counts have decayed", 60, 12, 800 * ms, 8},
		{"long after", 60, 12, time.Minute, 8},
		{"even if it is far larger", 60, 12, 800 * ms, 500},
		{"after a flood without successes", 60, 0, time.Second, 8},
		{"after a few requests of a rare caller", 5, 0, time.Second, 8},
		{"immediately after a large flood", 2000, 20, 0, 8},
	}
	for _, c := range cases {
		Convey("The next burst is admitted, "+c.name, t, func() {
			random := rand.New(rand.NewPCG(5, 6))
			throttles := New(WithRand(random.Float64))
			now := time.Unix(0, 0)
			for range c.sent {
				throttles.Admit(now, "o", "op")
			}
			for range c.sent - c.succeed {
				throttles.Observe(now.Add(ms), "o", "op", 1, 50*ms)
			}
			for i := range c.succeed {
				if i%4 == 0 {
					now = now.Add(50 * ms)
				}
				throttles.Observe(now, "o", "op", 0, 0)
			}
			now = now.Add(c.pause)
			refused := 0
			for range c.burst {
				if _, ok := throttles.Admit(now, "o", "op"); !ok {
					refused++
				}
			}
			So(refused, ShouldEqual, 0)
		})
	}
	Convey("Requests that were rejected cause no rejections after the overload", t, func() {
		random := rand.New(rand.NewPCG(5, 6))
		throttles := New(WithRand(random.Float64))
		drive(throttles, time.Unix(0, 0), time.Second, func() bool { return false })
		refused := 0
		for range 8 {
			if _, ok := throttles.Admit(time.Unix(2, 0), "o", "op"); !ok {
				refused++
			}
		}
		So(refused, ShouldEqual, 0)
	})
}
