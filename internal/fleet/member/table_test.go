package member

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

func hosts(names ...string) []lists.Host {
	var all []lists.Host
	for i, name := range names {
		all = append(all, lists.Host{Host: name, Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))})
	}
	return all
}

func names(all []lists.Host) []string {
	var out []string
	for _, h := range all {
		out = append(out, h.Host)
	}
	return out
}

func TestNewsOnLeaving(t *testing.T) {
	steps := []struct {
		name    string
		news    News
		isNew   bool
		leaving bool
	}{
		{"the host runs", News{Host: "a", Incarnation: 5}, false, false},
		{"the host leaves", News{Host: "a", Incarnation: 5, Leaving: true}, true, true},
		{"the same news again", News{Host: "a", Incarnation: 5, Leaving: true}, false, true},
		{"older news that it runs", News{Host: "a", Incarnation: 5}, false, true},
		{"the host was restarted", News{Host: "a", Incarnation: 6}, true, false},
		{"late news of the previous incarnation", News{Host: "a", Incarnation: 5, Leaving: true}, false, false},
	}
	// A host reports that it is leaving, and is restarted a moment later. News of both
	// incarnations arrives out of order over other hosts.
	Convey("The news of a host's last incarnation counts, in whatever order news arrives", t, func() {
		table := New()
		table.SetHosts(hosts("a", "b"))
		now := time.Now()
		for _, step := range steps {
			So(table.Apply(step.news, now), ShouldEqual, step.isNew)
			So(table.View(now).Leaving("a"), ShouldEqual, step.leaving)
		}
	})
}

func TestNewsTransmissions(t *testing.T) {
	Convey("A whole availability zone that leaves makes no digest large, and all news is sent in the end", t, func() {
		table := New()
		now := time.Now()
		for i := range 20 {
			table.Apply(News{Host: string(rune('a' + i)), Incarnation: 1, Leaving: true}, now)
		}
		transmissions := map[string]int{}
		for range 200 {
			news := table.NextNews()
			So(len(news), ShouldBeLessThanOrEqualTo, maxNewsPerDigest)
			for _, n := range news {
				transmissions[n.Host]++
			}
		}
		So(transmissions, ShouldHaveLength, 20)
		So(transmissions["a"], ShouldEqual, maxTransmissions)
		So(table.NextNews(), ShouldBeEmpty)
	})
}

func TestSuspects(t *testing.T) {
	// A rack's switch fails. The configuration service lists its hosts for a while longer,
	// and requests sent to them wait for connections that never open.
	synctest.Test(t, func(t *testing.T) {
		Convey("Hosts that can't be reached get no work while another host remains, and are probed", t, func() {
			table := New()
			all := hosts("a", "b", "c")
			table.SetHosts(all)
			usable := func() []string { return names(table.View(time.Now()).Usable(all)) }
			So(table.Failed("a", time.Now()), ShouldBeFalse)
			So(usable(), ShouldResemble, []string{"a", "b", "c"})
			So(table.Failed("a", time.Now()), ShouldBeTrue)
			So(usable(), ShouldResemble, []string{"b", "c"})
			table.Failed("b", time.Now())
			table.Failed("b", time.Now())
			table.Apply(News{Host: "c", Incarnation: 1, Leaving: true}, time.Now())
			So(usable(), ShouldResemble, []string{"a", "b"})

			So(table.DueProbes(time.Now()), ShouldBeEmpty)
			time.Sleep(probeInterval)
			So(table.DueProbes(time.Now()), ShouldHaveLength, 2)
			So(table.DueProbes(time.Now()), ShouldBeEmpty)
			So(table.Reached("a"), ShouldBeTrue)
			So(usable(), ShouldResemble, []string{"a"})
		})
		Convey("A host that refused work as leaving gets none for some seconds", t, func() {
			table := New()
			all := hosts("a", "b")
			table.SetHosts(all)
			table.Refused("a", time.Now())
			So(names(table.View(time.Now()).Usable(all)), ShouldResemble, []string{"b"})
			time.Sleep(refusedTTL)
			So(names(table.View(time.Now()).Usable(all)), ShouldResemble, []string{"a", "b"})
		})
		Convey("A host that is removed from the list is forgotten, and no unlisted host is a suspect", t, func() {
			table := New()
			table.SetHosts(hosts("a"))
			table.Failed("a", time.Now())
			table.Failed("a", time.Now())
			table.SetHosts(hosts("b"))
			So(table.Suspect("a"), ShouldBeFalse)
			So(table.Failed("a", time.Now()), ShouldBeFalse)
			So(table.HostAt(hosts("b")[0].Peer), ShouldEqual, "b")
		})
	})
}
