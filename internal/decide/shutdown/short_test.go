package shutdown

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestScheduleOfOtherGraces guards against requests that are cut while an instance works on them before the last sixth of the grace: what is
// reserved for the end of the process doesn't shrink with a shorter grace.
func TestScheduleOfOtherGraces(t *testing.T) {
	ordered := time.Unix(1000, 0)
	closing := Closing{Port: 400 * time.Millisecond, Rest: 850 * time.Millisecond}
	Convey("Requests at work have the first five sixths of the grace", t, func() {
		for _, grace := range []time.Duration{20 * time.Second, 6 * time.Second, 5 * time.Second, 4 * time.Second, 3 * time.Second} {
			So(New(ordered, grace, closing).Cutoff.Sub(ordered), ShouldBeGreaterThanOrEqualTo, grace*5/6)
		}
	})
}
