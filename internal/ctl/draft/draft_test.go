package draft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const keys = `{
  "keys": [
    {"id": "a", "organisation": "o",
     "sha256": "ab"},
    {"id": "b",
     "organisation": "o"}
  ]
}`

func TestLine(t *testing.T) {
	cases := []struct {
		place string
		line  int
	}{
		{"keys[0].sha256", 4},
		{"keys[1].organisation", 6},
		{"keys[1].sha256", 5},
		{"keys[9].id", 0},
		{"others[0].id", 0},
		{"line 3", 3},
		{"value", 0},
	}
	Convey("A fault is located at its field, or at the beginning of its entry if that has no such field", t, func() {
		for _, c := range cases {
			So(Line([]byte(keys), c.place), ShouldEqual, c.line)
		}
		So(Line([]byte("{"), "keys[0].id"), ShouldEqual, 0)
	})
}

func TestParse(t *testing.T) {
	Convey("Each list is parsed independently, and its faults are kept", t, func() {
		var files [lists.Kinds]File
		files[lists.KindKeys] = File{Name: "keys.json", Raw: []byte(keys)}
		files[lists.KindPlans] = File{Name: "plans.json", Raw: []byte(`{"organisations":[]}`)}
		d := Parse(files)
		So(d.Valid(), ShouldBeFalse)
		So(d.Plans, ShouldNotBeNil)
		So(d.Keys, ShouldBeNil)
		So(d.Uses, ShouldBeNil)
		So(d.Faults[lists.KindKeys], ShouldHaveLength, 2)
		So(d.Faults[lists.KindUses], ShouldBeEmpty)
	})
	Convey("Overlay replaces files of the base", t, func() {
		var base, files [lists.Kinds]File
		base[lists.KindKeys] = File{Name: "old"}
		base[lists.KindUses] = File{Name: "old"}
		files[lists.KindKeys] = File{Name: "new"}
		merged := Overlay(base, files)
		So(merged[lists.KindKeys].Name, ShouldEqual, "new")
		So(merged[lists.KindUses].Name, ShouldEqual, "old")
	})
}
