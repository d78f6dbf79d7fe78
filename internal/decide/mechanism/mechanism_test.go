package mechanism

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParse(t *testing.T) {
	Convey("Names are read in any order and written in order of declaration", t, func() {
		s, err := Parse("zones, plan,")
		So(err, ShouldBeNil)
		So(s, ShouldResemble, SetOf(Plan, Zones))
		So(s.Has(Plan), ShouldBeTrue)
		So(s.Has(FaultAvoidance), ShouldBeFalse)
		So(s.String(), ShouldEqual, "plan,zones")
	})
	Convey("An empty list is the empty set", t, func() {
		s, err := Parse("")
		So(err, ShouldBeNil)
		So(s, ShouldResemble, Set{})
		So(s.String(), ShouldEqual, "")
	})
	// Guards against a misspelled name being ignored, so that an operator believes a mechanism disabled that is still active.
	Convey("An unknown name is an error that lists the known ones", t, func() {
		_, err := Parse("plan,zone")
		So(err.Error(), ShouldContainSubstring, `"zone"`)
		So(err.Error(), ShouldContainSubstring, "lentRepeats")
	})
}
