package mechanism

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParse(t *testing.T) {
	Convey("Names are read, in any order, and written back", t, func() {
		s, err := Parse("zones, plan,")
		So(err, ShouldBeNil)
		So(s, ShouldResemble, SetOf(Plan, Zones))
		So(s.Has(Plan), ShouldBeTrue)
		So(s.Has(FaultAvoidance), ShouldBeFalse)
		So(s.String(), ShouldEqual, "plan,zones")
	})
	Convey("None is none", t, func() {
		s, err := Parse("")
		So(err, ShouldBeNil)
		So(s, ShouldResemble, Set{})
		So(s.String(), ShouldEqual, "")
	})
	// Guards against an operator who believes to have switched off what goes on.
	Convey("A name that isn't known is told with those that are", t, func() {
		_, err := Parse("plan,zone")
		So(err.Error(), ShouldContainSubstring, `"zone"`)
		So(err.Error(), ShouldContainSubstring, "lentRepeats")
	})
}
