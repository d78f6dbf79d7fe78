package comeback

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

func TestNext(t *testing.T) {
	cases := []struct {
		name            string
		refused         int
		first, interval time.Duration
		// want is the delay of the last refused request, with the mean jitter.
		want time.Duration
	}{
		{"a single request is delayed until the first free capacity", 1, 100 * ms, 50 * ms, 100 * ms},
		{"the tenth request is delayed by nine intervals more", 10, 100 * ms, 50 * ms, 550 * ms},
		{"no delay is shorter than MinDelay", 1, 0, ms, 20 * ms},
		{"a request whose slot is later than MaxDelay is delayed by a random time between half of MaxDelay and all of it", 1000, 100 * ms, 50 * ms, 1500 * ms},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			s := New(WithRand(func() float64 { return 0.5 }))
			now := time.Unix(0, 0)
			delay := time.Duration(0)
			for range c.refused {
				delay = s.Next(now, c.first, c.interval)
			}
			So(delay, ShouldEqual, c.want)
		})
	}
}

// TestDelaysAreSpread guards against synchronised client retries: an organisation sends far more than its rate, all its refused clients
// retry at the same moment, one is admitted and the rest are refused again.
func TestDelaysAreSpread(t *testing.T) {
	Convey("Refused clients retry one after another, at the pace at which requests are served", t, func() {
		s := New()
		now := time.Unix(0, 0)
		perInterval := map[time.Duration]int{}
		for range 40 {
			perInterval[s.Next(now, 0, 50*ms)/(500*ms)]++
		}
		for interval, count := range perInterval {
			So(count, ShouldBeLessThanOrEqualTo, 18)
			So(interval, ShouldBeLessThanOrEqualTo, 4)
		}
		So(len(perInterval), ShouldBeGreaterThanOrEqualTo, 4)
	})
}
