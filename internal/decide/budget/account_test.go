package budget

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAccount(t *testing.T) {
	cases := []struct {
		name    string
		left    int
		reserve int
		grant   int
		after   int
	}{
		{"keeps the reserve", 8, 1, 7, 1},
		{"one run goes before the reserve", 1, 1, 1, 0},
		{"nothing left", 0, 1, 0, 0},
	}
	Convey("An attempt draws what is there, less a reserve for a repeat", t, func() {
		for _, c := range cases {
			a := New(c.left)
			So(a.Draw(c.reserve), ShouldEqual, c.grant)
			So(a.Left(), ShouldEqual, c.after)
		}
	})
	Convey("What an answered attempt did not use comes back", t, func() {
		a := New(8)
		So(a.Draw(1), ShouldEqual, 7)
		a.Return(5)
		So(a.Left(), ShouldEqual, 6)
	})
}
