package lineage

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFitIsBounded(t *testing.T) {
	// Guards against state that grows with each configuration, and against naming callers while a route that may make the calls has no room.
	start := time.Unix(1000, 0)
	play := func(f *fit, routes, from int) {
		for n := range 4000 {
			now := start.Add(time.Duration(from+n) * time.Millisecond)
			route := fmt.Sprint("route", from+n%routes)
			f.addRun(route, 1, now)
			f.addCall(fmt.Sprint("called", from+n%routes))
			f.addRun(route, -1, now.Add(500*time.Microsecond))
		}
	}
	Convey("More routes than there is room for leave all callers uncertain", t, func() {
		f := newFit()
		play(f, 3*maxFitRoutes, 0)
		So(len(f.routes), ShouldBeLessThanOrEqualTo, maxFitRoutes)
		So(len(f.targets), ShouldBeLessThanOrEqualTo, maxFitTargets)
		for _, target := range f.targets {
			So(target.current(), ShouldBeFalse)
		}
	})
	Convey("Routes of a former configuration make room for those of the next", t, func() {
		f := newFit()
		for n := range 4 {
			play(f, maxFitRoutes-1, 10_000*n)
		}
		So(f.routes, ShouldContain, "route30000")
	})
}
