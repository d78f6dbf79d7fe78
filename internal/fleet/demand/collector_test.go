package demand

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

func lookups(perSecond float64) []shed.Rate {
	return []shed.Rate{{Class: shed.Class{Route: "lookup", Service: "s"}, PerSecond: perSecond}}
}

// one is the report of a daemon beside an instance.
func one(service string, fullness float64, slots int, perSecond float64) Report {
	return Report{
		Daemons: 1, Services: map[string]Service{service: {Instances: 1, Saturation: fullness, Slots: slots}}, Demand: lookups(perSecond),
	}
}

func TestSums(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	Convey("A daemon's newer report takes the place of its older one", t, func() {
		c := New()
		c.Update(a, false, one("s", 0.8, 9, 4), start)
		c.Update(b, false, one("s", 1.2, 7, 2), start)
		c.Update(a, false, one("s", 0.6, 0, 1), start.Add(time.Second))
		fullness, slots := c.Services()
		So(fullness["s"], ShouldAlmostEqual, 0.9)
		So(slots["s"], ShouldEqual, 7)
		So(c.Demand(), ShouldResemble, map[shed.Class]float64{lookups(0)[0].Class: 3})
		So(c.Daemons(), ShouldEqual, 2)
	})
	// A host is lost. Its demand would be taken for that of others for as long as the collector lives, and they would be refused.
	Convey("The report of a daemon that is gone ends", t, func() {
		c := New()
		c.Update(a, false, one("s", 2, 0, 4), start)
		c.Update(b, false, one("t", 0.1, 0, 0), start.Add(3*time.Second))
		fullness, _ := c.Services()
		So(fullness, ShouldResemble, map[string]float64{"t": 0.1})
		So(c.Demand(), ShouldBeEmpty)
		So(c.Daemons(), ShouldEqual, 1)
	})
}

func TestGroups(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	Convey("A group's report counts as that of all its daemons, and is not passed on as the daemons' own", t, func() {
		g, f := New(), New()
		g.Update(a, false, one("s", 0.8, 9, 4), start)
		g.Update(b, false, one("s", 1.2, 7, 2), start)
		f.Update(a, true, g.Aggregate(start), start)
		f.Update(c, false, one("s", 1, 5, 1), start)
		So(f.Daemons(), ShouldEqual, 3)
		So(f.Demand(), ShouldResemble, map[shed.Class]float64{lookups(0)[0].Class: 7})
		fullness, slots := f.Services()
		So(fullness["s"], ShouldAlmostEqual, 1)
		So(slots["s"], ShouldEqual, 21)
		So(f.Aggregate(start).Daemons, ShouldEqual, 1)
		So(f.IsGroup(a), ShouldBeTrue)
	})
	// Guards against a group of fifty daemons that is cut to what one of them may repeat.
	Convey("What is short of repeats is shared by daemons, not by who tells of them", t, func() {
		f := New()
		word := func(wanted float64) map[string]repeats.Rates {
			return map[string]repeats.Rates{"s": {Earned: 1, Wanted: wanted}}
		}
		f.Update(a, true, Report{Daemons: 4, RetryRates: word(40)}, start)
		f.Update(b, false, Report{Daemons: 1, RetryRates: word(10)}, start)
		group, alone := f.Grants(word(40), 4, start.Add(time.Second))["s"], f.Grants(word(10), 1, start.Add(time.Second))["s"]
		So(group, ShouldAlmostEqual, 4*alone)
		So(group+alone, ShouldAlmostEqual, 2)
	})
	Convey("What the fleet's collector lends is dealt out in the group", t, func() {
		g := New()
		g.Update(a, false, Report{Daemons: 1, RetryRates: map[string]repeats.Rates{"s": {Earned: 1, Wanted: 5}}}, start)
		g.SetGrants(map[string]float64{"s": 4}, start)
		So(g.Grants(map[string]repeats.Rates{"s": {Earned: 1, Wanted: 5}}, 1, start)["s"], ShouldAlmostEqual, 4)
	})
}
