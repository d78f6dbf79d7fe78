package collect

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDepartures guards against a collector that gives out whole rates beside the shares of hosts that the platform can't reach and has dropped
// from the list.
func TestDepartures(t *testing.T) {
	start := time.Unix(1000, 0)
	hosts := []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3"), netip.MustParseAddr("10.0.0.4")}
	Convey("Hosts that leave the list without notice count until they return or for a while", t, func() {
		d := NewDepartures()
		d.SetListed(hosts, start)
		So(d.Count(start), ShouldEqual, 0)
		d.SetListed(hosts[:2], start)
		So(d.Count(start), ShouldEqual, 2)
		d.SetListed(hosts[:3], start.Add(time.Second))
		So(d.Count(start.Add(time.Second)), ShouldEqual, 1)
		So(d.Count(start.Add(departureTTL)), ShouldEqual, 1)
		So(d.Count(start.Add(departureTTL+time.Second)), ShouldEqual, 0)
	})
	Convey("Hosts that are not fewer than the listed ones count until they return, since they may be the larger side of a partition", t, func() {
		d := NewDepartures()
		d.SetListed(hosts, start)
		d.SetListed(hosts[:2], start)
		So(d.Count(start.Add(time.Hour)), ShouldEqual, 2)
		d.SetListed(hosts[:3], start.Add(time.Hour))
		So(d.Count(start.Add(time.Hour)), ShouldEqual, 0)
	})
	Convey("Hosts whose daemons shut down don't count, whether that is known before they leave the list or after", t, func() {
		d := NewDepartures()
		d.SetListed(hosts, start)
		d.SetLeaving(hosts[3:], start)
		d.SetListed(hosts[:2], start.Add(time.Second))
		So(d.Count(start.Add(time.Second)), ShouldEqual, 1)
		d.SetLeaving(hosts[2:3], start.Add(2*time.Second))
		So(d.Count(start.Add(2*time.Second)), ShouldEqual, 0)
	})
}
