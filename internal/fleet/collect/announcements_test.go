package collect

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// TestLeavingInstancesSpread guards against daemons that go on sending requests to an instance that has said only to others that it leaves.
func TestLeavingInstancesSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving := []routing.Incarnation{{ID: "i", Born: time.Unix(1, 0)}}
	told, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	Convey("What one daemon reports is in the replies to all, until it no longer does", t, func() {
		c := New(discardObserver{}, mechanism.Set{})
		c.Handle(Heartbeat{From: told, LeavingInstances: leaving}, Fleet{}, now)
		So(c.Handle(Heartbeat{From: other}, Fleet{}, now).LeavingInstances, ShouldResemble, leaving)
		So(c.Handle(Heartbeat{From: other}, Fleet{}, now.Add(leavingTTL+time.Second)).LeavingInstances, ShouldBeEmpty)
	})
	Convey("It passes the group's collector to the fleet's, and from there to the other groups", t, func() {
		group, fleet, otherGroup := New(discardObserver{}, mechanism.Set{}), New(discardObserver{}, mechanism.Set{}), New(discardObserver{}, mechanism.Set{})
		group.Handle(Heartbeat{From: told, LeavingInstances: leaving}, Fleet{}, now)
		hb := Heartbeat{From: netip.MustParseAddrPort("10.0.0.3:1")}
		group.FillGroup(&hb, nil, now)
		fleet.Handle(hb, Fleet{}, now)
		otherGroup.Apply(fleet.Handle(Heartbeat{From: netip.MustParseAddrPort("10.0.0.4:1")}, Fleet{}, now), now)
		So(otherGroup.Handle(Heartbeat{From: other}, Fleet{}, now).LeavingInstances, ShouldResemble, leaving)
	})
}
