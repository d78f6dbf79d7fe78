package shutdown

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSchedule guards against a daemon that takes requests it can't finish, that ends those at work long before it has to, or that is killed
// before it has closed its connections.
func TestSchedule(t *testing.T) {
	ordered := time.Unix(1000, 0)
	closing := Closing{Port: 400 * time.Millisecond, Rest: 850 * time.Millisecond}
	const grace = 6 * time.Second
	Convey("With a grace of 6 s", t, func() {
		s := New(ordered, grace, closing)
		Convey("requests at work have the first five sixths of it", func() {
			So(s.Cutoff.Sub(ordered), ShouldBeGreaterThanOrEqualTo, grace*5/6)
		})
		Convey("all steps fit", func() {
			So(s.ConnectionsEnd.Add(closing.Rest), ShouldEqual, ordered.Add(grace))
			So(s.PortEnd.Add(closing.Port), ShouldHappenOnOrBefore, s.Cutoff)
			So(s.SubcallsEnd, ShouldHappenBetween, s.PortEnd, s.Cutoff)
			So(s.InstanceUseEnd, ShouldHappenBefore, s.NoticeEnd)
			So(s.NoticeEnd, ShouldHappenBefore, s.PortEnd)
		})
		Convey("a caller's request is refused by when it arrives and by its deadline", func() {
			for _, c := range []struct {
				arrives, deadline time.Duration
				refused           bool
			}{
				{0, 10 * time.Second, false},
				{2200 * time.Millisecond, 10 * time.Second, false},
				{2400 * time.Millisecond, 10 * time.Second, true},
				{2400 * time.Millisecond, 5 * time.Second, false},
				{4900 * time.Millisecond, 5 * time.Second, false},
			} {
				So(s.Refuses(ordered.Add(c.arrives), ordered.Add(c.deadline)), ShouldEqual, c.refused)
			}
		})
		Convey("a refused caller comes back when the platform sends it elsewhere", func() {
			So(s.RetryAfter(ordered), ShouldBeGreaterThan, noticePeriod)
			So(s.RetryAfter(ordered.Add(4*time.Second)), ShouldEqual, minRetryAfter)
		})
	})
	Convey("With hardly any leave time nothing comes after the end", t, func() {
		s := New(ordered, time.Millisecond, closing)
		So(s.NoticeEnd, ShouldEqual, s.Cutoff)
		So(s.InstanceUseEnd, ShouldEqual, s.Cutoff)
		So(s.Refuses(ordered.Add(time.Millisecond), ordered.Add(time.Second)), ShouldBeTrue)
	})
}
