package demand

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

func lookupDemand(perSecond float64) []shed.ArrivalRate {
	return []shed.ArrivalRate{{Class: shed.Class{Route: "lookup", Service: "s"}, PerSecond: perSecond}}
}

// reportOf returns the report of a daemon with one instance.
func reportOf(service string, saturation float64, slots int, perSecond float64) Report {
	return Report{
		Daemons: 1, Services: map[string]Service{service: {Instances: 1, Saturation: saturation, Slots: slots}}, Demand: lookupDemand(perSecond),
	}
}

func TestReportsAreSummed(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	Convey("A daemon's newer report replaces its older one", t, func() {
		c := New()
		c.Update(a, false, reportOf("s", 0.8, 9, 4), start)
		c.Update(b, false, reportOf("s", 1.2, 7, 2), start)
		c.Update(a, false, reportOf("s", 0.6, 0, 1), start.Add(time.Second))
		saturation, slots := c.Services()
		So(saturation["s"], ShouldAlmostEqual, 0.9)
		So(slots["s"], ShouldEqual, 7)
		So(c.Demand(), ShouldResemble, map[shed.Class]float64{lookupDemand(0)[0].Class: 3})
		So(c.Daemons(), ShouldEqual, 2)
	})
	// Guards against counting a lost host's demand for as long as the collector lives: requests at the other hosts would be shed for it.
	Convey("The report of an unreachable daemon expires", t, func() {
		c := New()
		c.Update(a, false, reportOf("s", 2, 0, 4), start)
		c.Update(b, false, reportOf("t", 0.1, 0, 0), start.Add(3*time.Second))
		saturation, _ := c.Services()
		So(saturation, ShouldResemble, map[string]float64{"t": 0.1})
		So(c.Demand(), ShouldBeEmpty)
		So(c.Daemons(), ShouldEqual, 1)
	})
}

func TestGroupReports(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	Convey("A group's report counts for all its daemons, and is not included in another group's report", t, func() {
		group, fleet := New(), New()
		group.Update(a, false, reportOf("s", 0.8, 9, 4), start)
		group.Update(b, false, reportOf("s", 1.2, 7, 2), start)
		fleet.Update(a, true, group.Aggregate(start), start)
		fleet.Update(c, false, reportOf("s", 1, 5, 1), start)
		So(fleet.Daemons(), ShouldEqual, 3)
		So(fleet.Demand(), ShouldResemble, map[shed.Class]float64{lookupDemand(0)[0].Class: 7})
		saturation, slots := fleet.Services()
		So(saturation["s"], ShouldAlmostEqual, 1)
		So(slots["s"], ShouldEqual, 21)
		So(fleet.Aggregate(start).Daemons, ShouldEqual, 1)
		So(fleet.IsGroup(a), ShouldBeTrue)
	})
	// Guards against a group of fifty daemons that is limited to the retries of one daemon.
	Convey("Scarce retries are divided by daemons, not by senders of reports", t, func() {
		fleet := New()
		rates := func(wanted float64) map[string]repeats.Rates {
			return map[string]repeats.Rates{"s": {Earned: 1, Wanted: wanted}}
		}
		fleet.Update(a, true, Report{Daemons: 4, RetryRates: rates(40)}, start)
		fleet.Update(b, false, Report{Daemons: 1, RetryRates: rates(10)}, start)
		group, daemon := fleet.Grants(rates(40), 4, start.Add(time.Second))["s"], fleet.Grants(rates(10), 1, start.Add(time.Second))["s"]
		So(group, ShouldAlmostEqual, 4*daemon)
		So(group+daemon, ShouldAlmostEqual, 2)
	})
	Convey("What the fleet's collector grants is divided within the group", t, func() {
		group := New()
		group.Update(a, false, Report{Daemons: 1, RetryRates: map[string]repeats.Rates{"s": {Earned: 1, Wanted: 5}}}, start)
		group.SetGrants(map[string]float64{"s": 4}, start)
		So(group.Grants(map[string]repeats.Rates{"s": {Earned: 1, Wanted: 5}}, 1, start)["s"], ShouldAlmostEqual, 4)
	})
}
