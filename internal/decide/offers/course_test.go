package offers

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

func ids(all []routing.Instance, behind map[string]bool) []string {
	var out []string
	for _, i := range all {
		if !behind[i.ID] {
			out = append(out, i.ID)
		}
	}
	return out
}

func TestCourse(t *testing.T) {
	all := []routing.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	// Guards against giving up a request that nobody has run, and against sending it to more instances than allowed.
	Convey("A request is offered", t, func() {
		c := New(2)
		So(c.Delivered(), ShouldBeFalse)
		Convey("to others first, and then again to those that have declined", func() {
			c.Record("a", choice.Declined, true)
			So(c.Delivered(), ShouldBeTrue)
			So(ids(c.Candidates(all)), ShouldResemble, []string{"b", "c"})
			c.Record("b", choice.Declined, true)
			So(c.CanRetry(), ShouldBeTrue)
			So(ids(c.Candidates(all)), ShouldResemble, []string{"a", "b"})
			for range mostSeen - 2 {
				So(c.CanRetry(), ShouldBeTrue)
				c.Record("a", choice.Declined, true)
			}
			So(c.CanRetry(), ShouldBeFalse)
		})
		Convey("not again to one that may have run it", func() {
			c.Record("a", choice.Declined, true)
			c.Record("a", choice.Lost, true)
			c.Record("b", choice.Failed, true)
			So(c.CanRetry(), ShouldBeFalse)
		})
		Convey("again where there is no other instance", func() {
			c.Record("a", choice.Declined, true)
			So(ids(c.Candidates(all[:1])), ShouldResemble, []string{"a"})
		})
		Convey("to no more hosts than that have no room", func() {
			for n, i := range all {
				So(c.CanRetry(), ShouldBeTrue)
				So(n, ShouldBeLessThan, mostUnseen)
				c.Record(i.ID, choice.Refused, false)
			}
			So(c.CanRetry(), ShouldBeFalse)
			So(c.Delivered(), ShouldBeFalse)
		})
	})
}
