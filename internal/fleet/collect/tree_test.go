package collect

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTreeReachesEachHostOnce guards against daemons that are left out, or told many times, when one daemon spreads what it has read.
func TestTreeReachesEachHostOnce(t *testing.T) {
	unlisted := netip.MustParseAddr("192.0.2.1")
	for _, size := range []int{0, 1, 2, 5, 17, 985, 3422} {
		hosts := newHosts(size, 5)
		topology := NewTopology(hosts)
		roots := []netip.Addr{unlisted}
		if size > 0 {
			roots = append(roots, hosts[0].Address, hosts[size/2].Address)
		}
		for i, root := range roots {
			Convey(fmt.Sprintf("%d hosts, root %d", size, i), t, func() {
				told := map[netip.Addr]int{}
				if root != unlisted {
					told[root] = 1
				}
				depth := 0
				for level := topology.Children(root, root); len(level) > 0; depth++ {
					var next []netip.Addr
					for _, host := range level {
						told[host]++
						next = append(next, topology.Children(root, host)...)
					}
					level = next
				}
				So(len(told), ShouldEqual, size)
				for _, times := range told {
					So(times, ShouldEqual, 1)
				}
				So(depth, ShouldBeLessThanOrEqualTo, 6)
			})
		}
	}
	Convey("A host that isn't listed passes nothing on", t, func() {
		hosts := newHosts(20, 5)
		So(NewTopology(hosts).Children(hosts[0].Address, unlisted), ShouldBeEmpty)
	})
}
