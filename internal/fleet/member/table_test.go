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

func TestWordOnLeaving(t *testing.T) {
	steps := []struct {
		name    string
		news    News
		fresh   bool
		leaving bool
	}{
		{"it runs", News{Host: "a", Incarnation: 5}, false, false},
		{"it leaves", News{Host: "a", Incarnation: 5, Leaving: true}, true, true},
		{"the same again", News{Host: "a", Incarnation: 5, Leaving: true}, false, true},
		{"an old word that it runs", News{Host: "a", Incarnation: 5}, false, true},
		{"it was started again", News{Host: "a", Incarnation: 6}, true, false},
		{"a late word of its life before", News{Host: "a", Incarnation: 5, Leaving: true}, false, false},
	}
	// A host says that it leaves, and is started again a moment later. Words of both
	// lives cross on their way over other hosts.
	Convey("The word of a host's last life counts, in whatever order words arrive", t, func() {
		table := New()
		table.SetHosts(hosts("a", "b"))
		now := time.Now()
		for _, s := range steps {
			So(table.Hear(s.news, now), ShouldEqual, s.fresh)
			So(table.View(now).Leaving("a"), ShouldEqual, s.leaving)
		}
	})
}

func TestNewsIsToldForAWhile(t *testing.T) {
	Convey("A whole zone that leaves makes no digest large, and every word is told in the end", t, func() {
		table := New()
		now := time.Now()
		for i := range 20 {
			table.Hear(News{Host: string(rune('a' + i)), Incarnation: 1, Leaving: true}, now)
		}
		told := map[string]int{}
		for range 200 {
			news := table.Tell()
			So(len(news), ShouldBeLessThanOrEqualTo, newsPerDigest)
			for _, n := range news {
				told[n.Host]++
			}
		}
		So(told, ShouldHaveLength, 20)
		So(told["a"], ShouldEqual, newsTellings)
		So(table.Tell(), ShouldBeEmpty)
	})
}

func TestSuspects(t *testing.T) {
	// A rack's switch fails. The platform lists its hosts for a while longer, and
	// requests that are placed there wait for connections that never open.
	synctest.Test(t, func(t *testing.T) {
		Convey("Hosts that can't be reached get no work while another is left, and are tried again", t, func() {
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
			table.Hear(News{Host: "c", Incarnation: 1, Leaving: true}, time.Now())
			So(usable(), ShouldResemble, []string{"a", "b"})

			So(table.Doubtful(time.Now()), ShouldBeEmpty)
			time.Sleep(probeEvery)
			So(table.Doubtful(time.Now()), ShouldHaveLength, 2)
			So(table.Doubtful(time.Now()), ShouldBeEmpty)
			So(table.Reached("a"), ShouldBeTrue)
			So(usable(), ShouldResemble, []string{"a"})
		})
		Convey("A host that refused work as leaving gets none for some seconds", t, func() {
			table := New()
			all := hosts("a", "b")
			table.SetHosts(all)
			table.Refused("a", time.Now())
			So(names(table.View(time.Now()).Usable(all)), ShouldResemble, []string{"b"})
			time.Sleep(refusedFor)
			So(names(table.View(time.Now()).Usable(all)), ShouldResemble, []string{"a", "b"})
		})
		Convey("A host that is off the list is forgotten, and nobody off it is a suspect", t, func() {
			table := New()
			table.SetHosts(hosts("a"))
			table.Failed("a", time.Now())
			table.Failed("a", time.Now())
			table.SetHosts(hosts("b"))
			So(table.Suspect("a"), ShouldBeFalse)
			So(table.Failed("a", time.Now()), ShouldBeFalse)
			So(table.At(hosts("b")[0].Peer), ShouldEqual, "b")
		})
	})
}
