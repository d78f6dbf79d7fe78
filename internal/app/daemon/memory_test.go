package daemon

import (
	"runtime/debug"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGCPercentIsRestored(t *testing.T) {
	// Two daemons of one process read large lists, one after the other or at the same time. If the second took the first one's
	// GC percentage for the operator's, the process would collect garbage every few megabytes for the rest of its life, and a
	// process started with GOGC=off or a lower GOGC would lose that setting.
	cases := []struct {
		name        string
		set, during int
	}{
		{"the default", 100, largeValueGCPercent},
		{"a lower percentage", 10, 10},
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
