package enum

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type colour uint8

func (c colour) String() string { return [...]string{"red", "green", "blue"}[c] }

func TestParse(t *testing.T) {
	cases := []struct {
		name  string
		want  colour
		found bool
	}{
		{"red", 0, true},
		{"blue", 2, true},
		{"", 0, false},
		{"Red", 0, false},
	}
	Convey("Every value is found by its name, and nothing else is", t, func() {
		for _, c := range cases {
			got, found := Parse(c.name, colour(2))
			So(got, ShouldEqual, c.want)
			So(found, ShouldEqual, c.found)
		}
	})
}
