package lists

import (
	"encoding/hex"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOperationOfARequest(t *testing.T) {
	uses := &Uses{Operations: []Operation{
		{Operation: "all", Service: "s", Method: "GET", Path: "/"},
		{Operation: "cars", Service: "s", Method: "GET", Path: "/cars"},
		{Operation: "notes", Service: "s", Method: "GET", Path: "/cars/notes"},
	}}
	view := NewView([Kinds]uint64{}, nil, uses, nil, nil)
	cases := []struct {
		service, method, path string
		want                  string
	}{
		{"s", "GET", "/cars", "cars"},
		{"s", "GET", "/cars/1", "cars"},
		{"s", "GET", "/cars/notes/1", "notes"},
		{"s", "GET", "/carsharing", "all"},
		{"s", "POST", "/cars", ""},
		{"other", "GET", "/cars", ""},
	}
	Convey("The operation with the longest path of whole segments matches", t, func() {
		for _, c := range cases {
			op, ok := view.Operation(c.service, c.method, c.path)
			So(ok, ShouldEqual, c.want != "")
			So(op.Operation, ShouldEqual, c.want)
		}
	})
}

func TestKeysAndGrants(t *testing.T) {
	hash := HashKey("right")
	view := NewView([Kinds]uint64{},
		&Plans{Organisations: []Organisation{{Organisation: "a", Plan: "p", Rate: 1, Burst: 1}}},
		&Uses{Plans: []Grant{{Plan: "p", Operations: []string{"o"}}}},
		&Keys{Keys: []Key{{ID: "k", Organisation: "a", SHA256: hex.EncodeToString(hash[:])}}}, nil)
	Convey("A key belongs to one organisation, whose plan determines the allowed operations", t, func() {
		organisation, ok := view.Authenticate("right")
		So(ok, ShouldBeTrue)
		So(organisation, ShouldEqual, "a")
		_, ok = view.Authenticate("wrong")
		So(ok, ShouldBeFalse)
		So(view.Allows("a", "o"), ShouldBeTrue)
		So(view.Allows("a", "other"), ShouldBeFalse)
		So(view.Allows("nobody", "o"), ShouldBeFalse)
	})
}
