package lineage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMayHaveParent(t *testing.T) {
	// Guards against taking a sub-call for a caller's request, which a leaving daemon refuses: the run that makes it fails. One with a shorter
	// time of its own matches no run's deadline.
	Convey("A request can be a sub-call unless its deadline is later than those of all active runs", t, func() {
		now := time.Unix(1000, 0)
		runs := New(WithClock(func() time.Time { return now }))
		So(runs.MayHaveParent(now), ShouldBeFalse)
		early, late := &Run{Route: "a"}, &Run{Route: "b"}
		runs.Begin(early, now.Add(time.Second))
		runs.Begin(late, now.Add(5*time.Second))
		for _, c := range []struct {
			deadline time.Duration
			want     bool
		}{
			{500 * time.Millisecond, true},
			{3 * time.Second, true},
			{5 * time.Second, true},
			{5*time.Second + maxSubcallDelay, true},
			{5*time.Second + maxSubcallDelay + time.Millisecond, false},
			{time.Minute, false},
		} {
			So(runs.MayHaveParent(now.Add(c.deadline)), ShouldEqual, c.want)
		}
		runs.End(late, true)
		So(runs.MayHaveParent(now.Add(5*time.Second)), ShouldBeFalse)
	})
}
