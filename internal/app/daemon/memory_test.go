package daemon

import (
	"runtime/debug"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGCPercentIsRestored(t *testing.T) {
	// Two daemons of one process read large lists, one after the other or at the same time. Were the second to
	// take the first one's percentage for the operator's, the process would collect at every few megabytes for
	// as long as it lives; one started with GOGC=off or a smaller GOGC would collect otherwise than it was told.
	cases := []struct {
		name        string
		set, during int
	}{
		{"the default", 100, largeValueGCPercent},
		{"a smaller one", 10, 10},
		{"off", -1, -1},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			before := debug.SetGCPercent(c.set)
			defer debug.SetGCPercent(before)
			var tuner gcTuner
			tuner.begin()
			tuner.begin()
			So(percent(), ShouldEqual, c.during)
			tuner.end()
			So(percent(), ShouldEqual, c.during)
			tuner.end()
			So(percent(), ShouldEqual, c.set)
		})
	}
}

func percent() int {
	p := debug.SetGCPercent(-1)
	debug.SetGCPercent(p)
	return p
}
