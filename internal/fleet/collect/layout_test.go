package collect

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// listed returns so many hosts over some zones.
func listed(daemons, zones int) []Host {
	all := make([]Host, 0, daemons)
	for n := range daemons {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], uint32(10<<24+n))
		all = append(all, Host{Address: netip.AddrFrom4(raw), Zone: fmt.Sprint("z", n%zones)})
	}
	return all
}

func anyHost(netip.Addr) bool { return true }

func TestLayout(t *testing.T) {
	Convey("A fleet of a hundred tells one collector, as the hosts outside the list do", t, func() {
		l := NewTopology(listed(95, 5))
		So(l.Flat(), ShouldBeTrue)
		first := l.Fleet(1, anyHost)
		for _, h := range listed(96, 5) {
			So(l.Group(h.Address, 1, anyHost), ShouldResemble, first)
		}
	})
	Convey("Groups are of one zone and bounded, and each host is in one", t, func() {
		for _, size := range []int{129, 300, 1000, 3400} {
			hosts := listed(size, 11)
			l := NewTopology(hosts)
			in := map[group]int{}
			for _, h := range hosts {
				g := l.of[h.Address]
				So(g.zone, ShouldEqual, h.Zone)
				in[g]++
			}
			for _, n := range in {
				So(n, ShouldBeLessThanOrEqualTo, 2*groupMost)
			}
			So(len(in), ShouldBeLessThanOrEqualTo, 11*max(size/11/groupMost*2, 1)*2)
		}
	})
	// Guards against a fleet in which each host that comes or goes sends many others to a new collector, which knows nothing of them yet.
	Convey("The loss of a host moves nobody but those that it collected for", t, func() {
		hosts := listed(3400, 11)
		before, after := NewTopology(hosts), NewTopology(hosts[1:])
		lost := hosts[0].Address
		for _, h := range hosts[1:] {
			if was := before.Group(h.Address, 1, anyHost)[0]; was != lost {
				So(after.Group(h.Address, 1, anyHost)[0], ShouldEqual, was)
			}
		}
	})
	Convey("A host that can't be used is passed over", t, func() {
		l := NewTopology(listed(300, 5))
		all := l.Fleet(3, anyHost)
		So(l.Fleet(2, func(a netip.Addr) bool { return a != all[0] }), ShouldResemble, all[1:])
		So(l.Position(all[2]), ShouldEqual, 2)
	})
	Convey("Two instances on one host have one daemon", t, func() {
		hosts := listed(3, 1)
		So(NewTopology(append(hosts, hosts[0])).Size(), ShouldEqual, 3)
	})
}
