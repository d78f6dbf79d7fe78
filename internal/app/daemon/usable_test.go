package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// A host says that it is leaving. Each request then filters the list of hosts
// anew, and the placer takes each copy for a new list: all that it knew of
// failing hosts would be gone, and its cost would grow with the fleet.
func TestUsableHostsKeepTheirSlice(t *testing.T) {
	Convey("The same slice is returned until the view or the members change", t, func() {
		list := []lists.Host{{Host: "a", Service: "s"}, {Host: "b", Service: "s"}, {Host: "c", Service: "s"}}
		view := lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, &lists.Hosts{Hosts: list})
		table, u := member.New(), usableHosts{}
		table.SetHosts(list)
		sound := table.View(time.Now())
		So(&u.of("s", view, sound)[0], ShouldPointTo, &view.HostsOf("s")[0])
		table.Apply(member.News{Host: "b", Incarnation: 1, Leaving: true}, time.Now())
		leaving := table.View(time.Now())
		first := u.of("s", view, leaving)
		So(len(first), ShouldEqual, 2)
		So(&u.of("s", view, leaving)[0], ShouldPointTo, &first[0])
		So(&u.of("s", view, table.View(time.Now()))[0], ShouldNotPointTo, &first[0])
		So(u.of("none", view, leaving), ShouldBeEmpty)
	})
}
