package bootstrap

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
)

// treeFleet is a fleet whose messages arrive at once; lost daemons confirm nothing.
type treeFleet struct {
	tree    *collect.Topology
	daemons map[netip.Addr]*treeDaemon
	running sync.WaitGroup
}

type treeDaemon struct {
	fleet     *treeFleet
	address   netip.AddrPort
	lost      bool
	announcer *Announcer

	mu     sync.Mutex
	loaded bool
	// copies is how many copies this daemon has sent.
	copies int
}

// newTreeFleet returns a fleet in which none, one or two of each three daemons are lost.
func newTreeFleet(size, lostOfThree int) *treeFleet {
	f := &treeFleet{daemons: map[netip.Addr]*treeDaemon{}}
	var hosts []collect.Host
	for n := range size {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
		d := &treeDaemon{fleet: f, address: address, lost: n%3 < lostOfThree}
		d.announcer = NewAnnouncer(d, address)
		f.daemons[address.Addr()] = d
		hosts = append(hosts, collect.Host{Address: address.Addr(), Zone: "z"})
	}
	f.tree = collect.NewTopology(hosts)
	return f
}

// spread announces from the root and waits until nothing is on its way.
func (f *treeFleet) spread(root *treeDaemon) {
	for _, d := range f.daemons {
		d.loaded, d.copies = d == root, 0
	}
	announced := Announcement{Root: root.address.Addr(), Source: root.address}
	root.announcer.passOn(context.Background(), []netip.Addr{root.address.Addr()}, announced)
	f.running.Wait()
}

func (d *treeDaemon) Has(Announcement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

func (d *treeDaemon) FetchAnnounced(_ context.Context, from netip.AddrPort) {
	source := d.fleet.daemons[from.Addr()]
	source.mu.Lock()
	source.copies++
	source.mu.Unlock()
	d.mu.Lock()
	d.loaded = true
	d.mu.Unlock()
}

func (d *treeDaemon) Tree() Tree { return d.fleet.tree }

func (d *treeDaemon) SendAnnouncement(_ context.Context, to netip.Addr, announced Announcement) error {
	receiver := d.fleet.daemons[to]
	if receiver.lost {
		return errors.New("lost")
	}
	d.fleet.running.Go(func() { receiver.announcer.Receive(context.Background(), announced) })
	return nil
}

// TestCopiesBesideLostDaemons guards against a daemon that sends copies to a large part of the fleet, because it takes the place of each lost
// daemon below it, and whose link is then too slow for all of them.
func TestCopiesBesideLostDaemons(t *testing.T) {
	const (
		roots = 30
		// maxCopies is what a link carries in about the time in which a fleet has to load.
		maxCopies = 64
	)
	for _, size := range []int{17, 985, 1970, 3422} {
		for _, lostOfThree := range []int{0, 1, 2} {
			Convey(fmt.Sprintf("%d daemons, %d of 3 lost", size, lostOfThree), t, func() {
				fleet := newTreeFleet(size, lostOfThree)
				busiest, missed, left := 0, 0, roots
				for _, root := range fleet.daemons {
					if root.lost {
						continue
					}
					fleet.spread(root)
					for _, d := range fleet.daemons {
						busiest = max(busiest, d.copies)
						if !d.lost && !d.loaded {
							missed++
						}
					}
					if left--; left == 0 {
						break
					}
				}
				So(missed, ShouldEqual, 0)
				So(busiest, ShouldBeLessThanOrEqualTo, maxCopies)
			})
		}
	}
}
