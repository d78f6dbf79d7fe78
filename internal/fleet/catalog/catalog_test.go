package catalog

import (
	"fmt"
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
	for _, inst := range c.Instances() {
		all[inst.ID] = true
	}
	return all
}

func TestStoreOutage(t *testing.T) {
	// Guards against refusing every request after an outage of the store that outlasts the entries' time to live: they expire though
	// all instances are live, and without the grace period they would be unknown until they have registered again.
	Convey("Entries that are missing right after an outage are kept until live instances must have registered again, and then removed", t, func() {
		c := New()
		c.Apply(Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3), instance("b", "10.0.0.2:80", 4)}}, start, time.Time{})
		recovered := start.Add(10 * time.Second)
		graceEnd := recovered.Add(ReturnGrace)
		out := c.Apply(Changes{Revision: 9, Whole: true, Entries: nil}, recovered.Add(50*time.Millisecond), graceEnd)
		So(out.Instances, ShouldBeFalse)
		So(ids(c), ShouldResemble, map[string]bool{"a": true, "b": true})
		c.Apply(Changes{Revision: 10, Entries: []Entry{instance("a", "10.0.0.1:80", 10)}}, recovered.Add(time.Second), graceEnd)
		So(c.Expire(recovered.Add(1900*time.Millisecond)), ShouldBeFalse)
		So(c.Expire(graceEnd), ShouldBeTrue)
		So(ids(c), ShouldResemble, map[string]bool{"a": true})
	})
	// Guards against removing an instance late: soon after a host is back from a partition, an instance stops without draining. The removal
	// of its entry is the only sign, and the instance serves for just two more seconds after it.
	Convey("An entry that is removed later is dropped at once", t, func() {
		c := New()
		c.Apply(Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3)}}, start, time.Time{})
		graceEnd := start.Add(ReturnGrace)
		out := c.Apply(Changes{Revision: 6, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}}}, graceEnd.Add(time.Millisecond), graceEnd)
		So(out.Instances, ShouldBeTrue)
		So(ids(c), ShouldBeEmpty)
	})
}

func TestOlderEntriesFromOtherDaemons(t *testing.T) {
	// Guards against sending requests to a stopped instance, because a daemon that was partitioned forwards what it knew before.
	Convey("Neither an older entry nor a removed one is restored", t, func() {
		c := New()
		c.Apply(Changes{Revision: 8, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 7), instance("b", "10.0.0.2:80", 4)}}, start, time.Time{})
		c.Apply(Changes{Revision: 9, Entries: []Entry{{Key: "i/b", Revision: 9, Removed: true}}}, start, time.Time{})
		old := instance("a", "10.9.9.9:80", 3)
		out := c.Apply(Changes{Revision: 8, Entries: []Entry{old, instance("b", "10.0.0.2:80", 4)}}, start, time.Time{})
		So(out.Instances, ShouldBeFalse)
		So(ids(c), ShouldResemble, map[string]bool{"a": true})
		So(c.Instances()[0].Address.String(), ShouldEqual, "10.0.0.1:80")
		So(c.Revision(), ShouldEqual, 9)
	})
	Convey("A daemon forwards what is newer, including removals", t, func() {
		from, to := New(), New()
		first := Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3), instance("b", "10.0.0.2:80", 4)}}
		from.Apply(first, start, time.Time{})
		to.Apply(first, start, time.Time{})
		from.Apply(Changes{Revision: 7, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}, instance("c", "10.0.0.3:80", 7)}}, start, time.Time{})
		to.Apply(from.Since(to.Version(), to.Revision(), start), start, time.Time{})
		So(ids(to), ShouldResemble, map[string]bool{"b": true, "c": true})
		So(to.Revision(), ShouldEqual, 7)
	})
}

func TestRemovalsAreForwarded(t *testing.T) {
	// Guards against a daemon that keeps a stopped instance: it fetches changes from a daemon that was partitioned and still gives the
	// removed instance time to return, and has the same revision afterwards, so it would not fetch the removal again.
	Convey("A daemon that fetches a pending removal removes the instance at the same time as the sender", t, func() {
		from, to := New(), New()
		first := Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3), instance("b", "10.0.0.2:80", 4)}}
		from.Apply(first, start, time.Time{})
		to.Apply(first, start, time.Time{})
		graceEnd := start.Add(time.Second)
		from.Apply(Changes{Revision: 6, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}}}, start, graceEnd)
		to.Apply(from.Since(to.Version(), to.Revision(), start), start, time.Time{})
		So(to.Revision(), ShouldEqual, 6)
		So(ids(to), ShouldResemble, map[string]bool{"a": true, "b": true})
		So(from.Expire(graceEnd), ShouldBeTrue)
		So(to.Expire(graceEnd), ShouldBeTrue)
		So(ids(to), ShouldResemble, map[string]bool{"b": true})
	})
	Convey("A daemon that fetches a removal after its grace period but before the sender expires it removes the instance at once", t, func() {
		from, to := New(), New()
		first := Changes{Revision: 5, Whole: true, Entries: []Entry{instance("a", "10.0.0.1:80", 3)}}
		from.Apply(first, start, time.Time{})
		to.Apply(first, start, time.Time{})
		graceEnd := start.Add(time.Second)
		from.Apply(Changes{Revision: 6, Entries: []Entry{{Key: "i/a", Revision: 6, Removed: true}}}, start, graceEnd)
		asked := graceEnd.Add(50 * time.Millisecond)
		to.Apply(from.Since(to.Version(), to.Revision(), asked), asked, time.Time{})
		So(ids(to), ShouldBeEmpty)
	})
}

func TestReusedAddress(t *testing.T) {
	// Guards against requests for a crashed instance that reach another one, which got its address before the first one's entry expired.
	Convey("Of two entries with one address, only the newer one is used", t, func() {
		c := New()
		c.Apply(Changes{Revision: 5, Entries: []Entry{instance("old", "10.0.0.1:80", 3), instance("new", "10.0.0.1:80", 5)}}, start, time.Time{})
		So(ids(c), ShouldResemble, map[string]bool{"new": true})
	})
}

func TestInvalidConfiguration(t *testing.T) {
	Convey("An invalid configuration or an older version changes nothing", t, func() {
		c := New()
		valid := &routing.Config{Version: 7, Services: map[string]routing.Service{"s": {}}, Routes: []routing.Route{
			{Name: "r", Host: "h", Prefix: "/a/", Parts: []routing.Part{{Service: "s", Weight: 1}}},
		}}
		So(c.Apply(Changes{Revision: 2, Entries: []Entry{{Revision: 2, Config: valid}}}, start, time.Time{}).Configured, ShouldBeTrue)
		invalid := *valid
		invalid.Version, invalid.Services = 9, nil
		out := c.Apply(Changes{Revision: 3, Entries: []Entry{{Revision: 3, Config: &invalid}}}, start, time.Time{})
		So(out.Rejected, ShouldNotBeNil)
		older := *valid
		older.Version = 6
		So(c.Apply(Changes{Revision: 4, Entries: []Entry{{Revision: 4, Config: &older}}}, start, time.Time{}).Configured, ShouldBeFalse)
		So(c.Version(), ShouldEqual, 7)
	})
}

// cold returns an entry of an instance that stays cold for the given time after the publication.
func cold(id, address string, revision uint64, remaining time.Duration) Entry {
	entry := instance(id, address, revision)
	entry.Instance.ColdFor = remaining
	return entry
}

func TestWarmUpEndsOnce(t *testing.T) {
	// Guards against an instance that counts as cold for as long as anything is published: each publication began its warm-up anew.
	Convey("A change of another instance doesn't move the end of a warm-up", t, func() {
		c := New()
		c.Apply(Changes{Revision: 5, Entries: []Entry{cold("a", "10.0.0.1:80", 5, 3*time.Second)}}, start, time.Time{})
		c.Apply(Changes{Revision: 6, Entries: []Entry{instance("b", "10.0.0.2:80", 6)}}, start.Add(2*time.Second), time.Time{})
		So(c.View(nil).InstancesOf("s")[0].ColdUntil, ShouldEqual, start.Add(3*time.Second))
	})
	// Guards against the same at daemons that receive the entry from another daemon, seconds after its publication.
	Convey("A daemon forwards the warm-up time that remains", t, func() {
		from, to := New(), New()
		from.Apply(Changes{Revision: 5, Entries: []Entry{cold("a", "10.0.0.1:80", 5, 3*time.Second)}}, start, time.Time{})
		forwardedAt := start.Add(2 * time.Second)
		to.Apply(from.Since(0, 0, forwardedAt), forwardedAt, time.Time{})
		So(to.View(nil).InstancesOf("s")[0].ColdUntil, ShouldEqual, start.Add(3*time.Second))
	})
}

// TestSameHosts guards against groups of collectors that stay as they are although a host has moved to another availability zone.
func TestSameHosts(t *testing.T) {
	view := func(instances ...routing.Instance) *View {
		c := New()
		var changes Changes
		for i := range instances {
			changes.Entries = append(changes.Entries, Entry{Key: instances[i].ID, Revision: 1, Instance: &instances[i]})
		}
		c.Apply(changes, time.Time{}, time.Time{})
		return c.View(nil)
	}
	one := routing.Instance{ID: "i", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	restarted, moved, other := one, one, one
	restarted.ID, restarted.Draining = "j", true
	moved.Zone = "b"
	other.ID, other.Address = "k", netip.MustParseAddrPort("10.0.0.2:80")
	Convey("Views differ by their hosts and these hosts' zones, not by the state of instances", t, func() {
		So(view(one).SameHosts(view(restarted)), ShouldBeTrue)
		So(view(one).SameHosts(view(moved)), ShouldBeFalse)
		So(view(one).SameHosts(view(other)), ShouldBeFalse)
		So(view(one).SameHosts(view(one, other)), ShouldBeFalse)
		So(view().SameHosts(view()), ShouldBeTrue)
	})
}

// BenchmarkView measures what each change of the list costs each daemon.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{30, 985, 1970} {
		c := New()
		var changes Changes
		for n := range size {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
			inst := &routing.Instance{ID: fmt.Sprint("i-", n), Service: fmt.Sprint("s", n%4), Zone: fmt.Sprint("z", n%5), Address: address}
			changes.Entries = append(changes.Entries, Entry{Key: inst.ID, Revision: 1, Instance: inst})
		}
		c.Apply(changes, time.Time{}, time.Time{})
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				c.View(nil)
			}
		})
	}
}
