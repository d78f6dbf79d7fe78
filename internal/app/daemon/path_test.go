package daemon

import (
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

func TestForwardedPath(t *testing.T) {
	// A caller's path has escaped characters or dot segments. If it were unescaped on the way, the upstream would see another
	// resource than the caller named; and if the upstream resolves dot segments, a path that matches an allowed operation
	// would reach one that the plan doesn't allow.
	view := lists.NewView([lists.Kinds]uint64{},
		&lists.Plans{Organisations: []lists.Organisation{{Organisation: "dealer", Plan: "basic", Rate: 1, Burst: 1}}},
		&lists.Uses{
			Operations: []lists.Operation{{Operation: "find", Service: "lookup", Method: "GET", Path: "/vehicles"}},
			Plans:      []lists.Grant{{Plan: "basic", Operations: []string{"find"}}},
		}, nil, nil)
	d := &Daemon{settings: settings.Default()}
	cases := []struct {
		target string
		path   string
		reason call.Reason
	}{
		{"/lookup/vehicles/1", "/vehicles/1", call.None},
		{"/lookup/vehicles/a%3Fb", "/vehicles/a%3Fb", call.None},
		{"/lookup/vehicles/a%20b?q=%2F", "/vehicles/a%20b?q=%2F", call.None},
		{"/lookup/vehicles/a%2Fb", "/vehicles/a%2Fb", call.None},
		{"/lookup/vehicles/../exports", "", call.BadRequest},
		{"/lookup/vehicles/%2e%2e/exports", "", call.BadRequest},
		{"/lookup/vehicles%2F..%2Fexports", "", call.BadRequest},
		{"/lookup/vehicles/./1", "", call.BadRequest},
		{"/lookup/vehicles//1", "", call.BadRequest},
		{"/lookup/exports", "", call.UnknownOperation},
	}
	Convey("The path is forwarded as the caller wrote it, and unclean paths are refused", t, func() {
		for _, c := range cases {
			Convey(c.target, func() {
				a, refusal, ok := d.prepare(view, "dealer", httptest.NewRequest("GET", c.target, nil), nil)
				So(ok, ShouldEqual, c.reason == call.None)
				So(refusal.Reason, ShouldEqual, c.reason)
				So(a.request.Path, ShouldEqual, c.path)
			})
		}
	})
}
