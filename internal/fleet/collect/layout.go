package collect

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is a machine on which a daemon runs, with its availability zone.
type Host struct {
	Address netip.Addr
	Zone    string
}

const (
	// Interval is the heartbeat interval of a daemon.
	Interval = 300 * time.Millisecond
	// GroupInterval is the heartbeat interval of a group's collector.
	GroupInterval = 150 * time.Millisecond
	// maxFlatDaemons is the size of the largest fleet in which all daemons report to one collector.
	maxFlatDaemons = 128
	// maxMeanGroup is the mean number of daemons per group above which an availability zone is divided into more groups.
	maxMeanGroup = 100
)

// Topology says which daemons collect for which others. All daemons compute the same one from the same host list.
type Topology struct {
	// order has all hosts in the order in which they are tried as the fleet's collector.
	order     []hashedHost
	addresses []netip.Addr
	groups    map[group][]netip.Addr
	groupOf   map[netip.Addr]group
	zones     map[netip.Addr]string
}

// hashedHost is a host with the hash that determines its position in the order.
type hashedHost struct {
	Host
	hash uint64
}

// group identifies a group of hosts within one availability zone. Groups don't span availability zones: this saves heartbeats a hop between
// them, and the loss of one availability zone leaves the hosts of the others with their collectors.
type group struct {
	zone  string
	index uint64
}

// NewTopology returns the topology of a fleet.
func NewTopology(hosts []Host) *Topology {
	t := &Topology{order: make([]hashedHost, 0, len(hosts)), groups: map[group][]netip.Addr{}, groupOf: make(map[netip.Addr]group, len(hosts)), zones: make(map[netip.Addr]string, len(hosts))}
	daemonsByZone := map[string]int{}
	for _, h := range hosts {
		t.order = append(t.order, hashedHost{h, hashOf(h.Address)})
	}
	slices.SortFunc(t.order, func(a, b hashedHost) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), a.Address.Compare(b.Address))
	})
	// Two instances on one host share one daemon.
	t.order = slices.CompactFunc(t.order, func(a, b hashedHost) bool { return a.Address == b.Address })
	for _, h := range t.order {
		t.addresses = append(t.addresses, h.Address)
		t.zones[h.Address] = h.Zone
	}
	if len(t.order) <= maxFlatDaemons {
		return t
	}
	for _, h := range t.order {
		daemonsByZone[h.Zone]++
	}
	for _, h := range t.order {
		g := group{h.Zone, h.hash % groupsInZone(daemonsByZone[h.Zone])}
		t.groupOf[h.Address] = g
		t.groups[g] = append(t.groups[g], h.Address)
	}
	return t
}

// groupsInZone returns the number of groups for an availability zone with the given number of daemons. It grows by doubling, so that it
// seldom changes while hosts come and go.
func groupsInZone(daemons int) uint64 {
	groups := uint64(1)
	for daemons > maxMeanGroup*int(groups) {
		groups *= 2
	}
	return groups
}

// hashOf returns the sort key of a host. A hash is used so that the collector isn't always the host with the lowest address.
func hashOf(host netip.Addr) uint64 {
	raw := host.As16()
	return xxhash.Sum64(raw[:])
}

// Size returns the number of daemons.
func (t *Topology) Size() int { return len(t.order) }

// Flat reports whether all daemons report to one collector, without groups.
func (t *Topology) Flat() bool { return len(t.groups) == 0 }

// Fleet returns up to count hosts that may collect for the fleet: the first usable ones in the fleet's order.
func (t *Topology) Fleet(count int, usable func(netip.Addr) bool) []netip.Addr {
	first := make([]netip.Addr, 0, count)
	for _, h := range t.order {
		if len(first) == count {
			break
		}
		if usable(h.Address) {
			first = append(first, h.Address)
		}
	}
	return first
}

// Group returns up to count hosts that may collect for the host's group, as Fleet does for the fleet. It returns those of the fleet if
// there are no groups or the host is not listed.
func (t *Topology) Group(host netip.Addr, count int, usable func(netip.Addr) bool) []netip.Addr {
	g, known := t.groupOf[host]
	if !known {
		return t.Fleet(count, usable)
	}
	first := make([]netip.Addr, 0, count)
	for _, h := range t.groups[g] {
		if len(first) == count {
			break
		}
		if usable(h) {
			first = append(first, h)
		}
	}
	return first
}

// Members returns the hosts whose daemons report to the collector of the host's group, or all hosts if there are no groups. The slice must
// not be changed.
func (t *Topology) Members(host netip.Addr) []netip.Addr {
	if g, known := t.groupOf[host]; known {
		return t.groups[g]
	}
	return t.addresses
}

// Zone returns the availability zone of the host, or an empty string if the host is not listed.
func (t *Topology) Zone(host netip.Addr) string { return t.zones[host] }

// Neighbours returns up to count usable hosts in the zone that come before the host in the fleet's order. The first hosts of a zone have
// none or few, so that at least one host of each zone asks the collector itself.
func (t *Topology) Neighbours(host netip.Addr, zone string, count int, usable func(netip.Addr) bool) []netip.Addr {
	first := make([]netip.Addr, 0, count)
	for _, h := range t.order {
		if len(first) == count || h.Address == host {
			break
		}
		if h.Zone == zone && usable(h.Address) {
			first = append(first, h.Address)
		}
	}
	return first
}

// Position returns the number of hosts before this one in the fleet's order.
func (t *Topology) Position(host netip.Addr) int {
	position, _ := slices.BinarySearchFunc(t.order, hashOf(host), func(h hashedHost, hash uint64) int { return cmp.Compare(h.hash, hash) })
	return position
}
