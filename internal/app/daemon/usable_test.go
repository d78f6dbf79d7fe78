package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// A host is leaving. If each request filtered the host list again, the placer would take each copy for a new list: it would
// lose all that it had learned of failing hosts, and its cost would grow with the fleet.
func TestUsableHostsAreCached(t *testing.T) {
	Convey("The same slice is returned until the view or the members change", t, func() {
		list := []lists.Host{{Host: "a", Service: "s"}, {Host: "b", Service: "s"}, {Host: "c", Service: "s"}}
		view := lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, &lists.Hosts{Hosts: list})
		table, u := member.New(), usableHosts{}
		table.SetHosts(list)
		sound := table.View(time.Now())
		So(&u.forService("s", view, sound)[0], ShouldPointTo, &view.HostsOf("s")[0])
		table.Apply(member.News{Host: "b", Incarnation: 1, Leaving: true}, time.Now())
		leaving := table.View(time.Now())
		first := u.forService("s", view, leaving)
		So(len(first), ShouldEqual, 2)
		So(&u.forService("s", view, leaving)[0], ShouldPointTo, &first[0])
		So(&u.forService("s", view, table.View(time.Now()))[0], ShouldNotPointTo, &first[0])
		So(u.forService("none", view, leaving), ShouldBeEmpty)
	})
}
