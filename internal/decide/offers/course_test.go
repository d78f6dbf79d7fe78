package offers

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// ids returns the IDs of the instances that aren't excluded.
func ids(instances []routing.Instance, excluded map[string]bool) []string {
	var out []string
	for _, i := range instances {
		if !excluded[i.ID] {
			out = append(out, i.ID)
		}
	}
	return out
}

func TestTracker(t *testing.T) {
	instances := []routing.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	// Guards against giving up a request that no instance has run, and against sending it to more instances than allowed.
	Convey("A request is sent", t, func() {
		tracker := New(2)
		So(tracker.Delivered(), ShouldBeFalse)
		Convey("to untried instances first, and then again to those that declined", func() {
			tracker.Record("a", choice.Declined, true)
			So(tracker.Delivered(), ShouldBeTrue)
			So(ids(tracker.Candidates(instances)), ShouldResemble, []string{"b", "c"})
			tracker.Record("b", choice.Declined, true)
			So(tracker.CanRetry(), ShouldBeTrue)
			So(ids(tracker.Candidates(instances)), ShouldResemble, []string{"a", "b"})
			for range maxDelivered - 2 {
				So(tracker.CanRetry(), ShouldBeTrue)
				tracker.Record("a", choice.Declined, true)
			}
			So(tracker.CanRetry(), ShouldBeFalse)
		})
		Convey("not again to an instance that may have run it", func() {
			tracker.Record("a", choice.Declined, true)
			tracker.Record("a", choice.Lost, true)
			tracker.Record("b", choice.Failed, true)
			So(tracker.CanRetry(), ShouldBeFalse)
		})
		Convey("again to an instance that declined if there is no other", func() {
			tracker.Record("a", choice.Declined, true)
			So(ids(tracker.Candidates(instances[:1])), ShouldResemble, []string{"a"})
		})
		Convey("to a limited number of hosts that have no free slot", func() {
			for n, i := range instances {
				So(tracker.CanRetry(), ShouldBeTrue)
				So(n, ShouldBeLessThan, maxUndelivered)
				tracker.Record(i.ID, choice.Refused, false)
			}
			So(tracker.CanRetry(), ShouldBeFalse)
			So(tracker.Delivered(), ShouldBeFalse)
		})
	})
}
