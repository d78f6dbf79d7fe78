package catalog

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

var start = time.Unix(1000, 0)

func instance(id, address string, revision uint64) Entry {
	return Entry{Key: "i/" + id, Revision: revision, Instance: &routing.Instance{
		ID: id, Service: "s", Address: netip.MustParseAddrPort(address), Slots: 4,
	}}
}

func ids(c *Catalog) map[string]bool {
	all := map[string]bool{}
	for _, i := range c.Instances() {
		all[i.ID] = true
	}
	return all
}

func TestOutageOfTheStore(t *testing.T) {
	// The store is away for longer than instances may be silent, and their entries lapse though all of them live. Dropped at
	// once, every request would be refused until the last instance has said again that it is there.
	Convey("What is missing right after an outage is kept until live instances must be back, and then dropped", t, func() {
		c := New()
		c.Offer(Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3), instance("b", "10.0.0.2:80", 4)}}, start, time.Time{})
		returned := start.Add(10 * time.Second)
		back := returned.Add(ReturnTime)
		out := c.Offer(Changes{Revision: 9, Whole: true, Entries: nil}, returned.Add(50*time.Millisecond), back)
		So(out.Instances, ShouldBeFalse)
		So(ids(c), ShouldResemble, map[string]bool{"a": true, "b": true})
		c.Offer(Changes{Revision: 10, Entries: []Entry{instance("a", "10.0.0.1:80", 10)}}, returned.Add(time.Second), back)
		So(c.Expire(returned.Add(1900*time.Millisecond)), ShouldBeFalse)
		So(c.Expire(back), ShouldBeTrue)
		So(ids(c), ShouldResemble, map[string]bool{"a": true})
	})
	// A host was cut off and is back, and a moment later an instance leaves without a word but for its entry's end. It serves
	// for two more seconds only.
	Convey("What goes later than that is dropped at once", t, func() {
		c := New()
		c.Offer(Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3)}}, start, time.Time{})
		back := start.Add(ReturnTime)
		out := c.Offer(Changes{Revision: 6, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}}}, back.Add(time.Millisecond), back)
		So(out.Instances, ShouldBeTrue)
		So(ids(c), ShouldBeEmpty)
	})
}

func TestOlderWordsFromElsewhere(t *testing.T) {
	// A daemon that was cut off offers another what it knew before. Taken over, an instance that is gone would get requests again.
	Convey("Neither an older entry nor one that was removed since comes back", t, func() {
		c := New()
		c.Offer(Changes{Revision: 8, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 7), instance("b", "10.0.0.2:80", 4)}}, start, time.Time{})
		c.Offer(Changes{Revision: 9, Entries: []Entry{{Key: "i/b", Revision: 9, Removed: true}}}, start, time.Time{})
		old := instance("a", "10.9.9.9:80", 3)
		out := c.Offer(Changes{Revision: 8, Entries: []Entry{old, instance("b", "10.0.0.2:80", 4)}}, start, time.Time{})
		So(out.Instances, ShouldBeFalse)
		So(ids(c), ShouldResemble, map[string]bool{"a": true})
		So(c.Instances()[0].Address.String(), ShouldEqual, "10.0.0.1:80")
		So(c.Revision(), ShouldEqual, 9)
	})
	Convey("A daemon hands on what is newer, removals too", t, func() {
		from, to := New(), New()
		first := Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3), instance("b", "10.0.0.2:80", 4)}}
		from.Offer(first, start, time.Time{})
		to.Offer(first, start, time.Time{})
		from.Offer(Changes{Revision: 7, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}, instance("c", "10.0.0.3:80", 7)}}, start, time.Time{})
		to.Offer(from.Since(to.Version(), to.Revision(), start), start, time.Time{})
		So(ids(to), ShouldResemble, map[string]bool{"b": true, "c": true})
		So(to.Revision(), ShouldEqual, 7)
	})
}

func TestEndsThatAreHandedOn(t *testing.T) {
	// A daemon that was cut off hears of an instance's end and gives it time to return. Another one fetches what is new from it
	// meanwhile, and is then as new as the first: it must not be left with an instance that is gone.
	Convey("A daemon that hears of an end from one that waits drops the instance no later", t, func() {
		from, to := New(), New()
		first := Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3), instance("b", "10.0.0.2:80", 4)}}
		from.Offer(first, start, time.Time{})
		to.Offer(first, start, time.Time{})
		back := start.Add(time.Second)
		from.Offer(Changes{Revision: 6, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}}}, start, back)
		to.Offer(from.Since(to.Version(), to.Revision(), start), start, time.Time{})
		So(to.Revision(), ShouldEqual, 6)
		So(ids(to), ShouldResemble, map[string]bool{"a": true, "b": true})
		So(from.Expire(back), ShouldBeTrue)
		So(to.Expire(back), ShouldBeTrue)
		So(ids(to), ShouldResemble, map[string]bool{"b": true})
	})
	Convey("Also one that asks between the time's end and the moment at which the first looks at it", t, func() {
		from, to := New(), New()
		first := Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3)}}
		from.Offer(first, start, time.Time{})
		to.Offer(first, start, time.Time{})
		back := start.Add(time.Second)
		from.Offer(Changes{Revision: 6, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}}}, start, back)
		asked := back.Add(50 * time.Millisecond)
		to.Offer(from.Since(to.Version(), to.Revision(), asked), asked, time.Time{})
		So(ids(to), ShouldBeEmpty)
	})
}

func TestAddressUsedAgain(t *testing.T) {
	// An instance crashed and another got its address before the first one's entry lapsed. Requests for the first reach the second.
	Convey("Of two entries with one address, only the newer one is used", t, func() {
		c := New()
		c.Offer(Changes{Revision: 5, Entries: []Entry{instance("old", "10.0.0.1:80", 3), instance("new", "10.0.0.1:80", 5)}}, start, time.Time{})
		So(ids(c), ShouldResemble, map[string]bool{"new": true})
	})
}

func TestConfigurationThatIsUnsound(t *testing.T) {
	Convey("A configuration with faults or an older version changes nothing", t, func() {
		c := New()
		sound := &routing.Config{Version: 7, Services: map[string]routing.Service{"s": {}}, Routes: []routing.Route{
			{Name: "r", Host: "h", Prefix: "/a/", Parts: []routing.Part{{Service: "s", Weight: 1}}},
		}}
		So(c.Offer(Changes{Revision: 2, Entries: []Entry{{Revision: 2, Config: sound}}}, start, time.Time{}).Configured, ShouldBeTrue)
		unsound := *sound
		unsound.Version, unsound.Services = 9, nil
		out := c.Offer(Changes{Revision: 3, Entries: []Entry{{Revision: 3, Config: &unsound}}}, start, time.Time{})
		So(out.Rejected, ShouldNotBeNil)
		older := *sound
		older.Version = 6
		So(c.Offer(Changes{Revision: 4, Entries: []Entry{{Revision: 4, Config: &older}}}, start, time.Time{}).Configured, ShouldBeFalse)
		So(c.Version(), ShouldEqual, 7)
	})
}
