package comeback

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

func TestPlaces(t *testing.T) {
	cases := []struct {
		name            string
		refused         int
		first, interval time.Duration
		// want is what the last of them is told, in the middle of the jitter.
		want time.Duration
	}{
		{"the only one comes when there is room", 1, 100 * ms, 50 * ms, 100 * ms},
		{"the tenth comes after nine others", 10, 100 * ms, 50 * ms, 550 * ms},
		{"nobody comes at once", 1, 0, ms, 20 * ms},
		{"nobody waits longer than the places reach", 1000, 100 * ms, 50 * ms, 1500 * ms},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			p := New(WithRand(func() float64 { return 0.5 }))
			now := time.Unix(0, 0)
			told := time.Duration(0)
			for range c.refused {
				told = p.Next(now, c.first, c.interval)
			}
			So(told, ShouldEqual, c.want)
		})
	}
}

// An organisation sends far more than its rate. Were all its refused callers told the same
// moment, they would come back together, one would get in, and the rest be refused again.
func TestPlacesSpread(t *testing.T) {
	Convey("Refused callers come back one after another, at the pace of what is served", t, func() {
		p := New()
		now := time.Unix(0, 0)
		perSlice := map[time.Duration]int{}
		for range 40 {
			perSlice[p.Next(now, 0, 50*ms)/(500*ms)]++
		}
		for slice, count := range perSlice {
			So(count, ShouldBeLessThanOrEqualTo, 18)
			So(slice, ShouldBeLessThanOrEqualTo, 4)
		}
		So(len(perSlice), ShouldBeGreaterThanOrEqualTo, 4)
	})
}
