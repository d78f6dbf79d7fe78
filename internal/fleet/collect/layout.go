package collect

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is one on which a daemon runs.
type Host struct {
	Address netip.Addr
	Zone    string
}

const (
	// Interval is the gap between two beats of a daemon.
	Interval = 300 * time.Millisecond
	// GroupInterval is the gap between two beats of a group's collector.
	GroupInterval = 150 * time.Millisecond
	// flatMost is the largest fleet in which all daemons tell one collector.
	flatMost = 128
	// groupMost is how many daemons a group may have on the mean before its zone is parted further.
	groupMost = 100
)

// Topology is which daemons collect for which, as all daemons work it out from the same list.
type Topology struct {
	// order are all hosts in the order in which they collect for the fleet.
	order  []ranked
	all    []netip.Addr
	groups map[group][]netip.Addr
	of     map[netip.Addr]group
}

// ranked is a host with its place in the order.
type ranked struct {
	Host
	rank uint64
}

// group is a part of an availability zone. Groups follow zones, so that word is short of a hop between them and the loss of a zone takes
// no other's collector away.
type group struct {
	zone string
	part uint64
}

// NewTopology returns the layout of a fleet.
func NewTopology(hosts []Host) *Topology {
	l := &Topology{order: make([]ranked, 0, len(hosts)), groups: map[group][]netip.Addr{}, of: make(map[netip.Addr]group, len(hosts))}
	zones := map[string]int{}
	for _, h := range hosts {
		l.order = append(l.order, ranked{h, rank(h.Address)})
	}
	slices.SortFunc(l.order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.Address.Compare(b.Address))
	})
	// Two instances on one host have one daemon.
	l.order = slices.CompactFunc(l.order, func(a, b ranked) bool { return a.Address == b.Address })
	for _, h := range l.order {
		l.all = append(l.all, h.Address)
	}
	if len(l.order) <= flatMost {
		return l
	}
	for _, h := range l.order {
		zones[h.Zone]++
	}
	for _, h := range l.order {
		g := group{h.Zone, h.rank % parts(zones[h.Zone])}
		l.of[h.Address] = g
		l.groups[g] = append(l.groups[g], h.Address)
	}
	return l
}

// parts is into how many groups a zone of so many daemons is parted. It doubles, so that it seldom changes while hosts come and go.
func parts(daemons int) uint64 {
	n := uint64(1)
	for daemons > groupMost*int(n) {
		n *= 2
	}
	return n
}

// rank mixes the hosts, so that the collector isn't always the one with the lowest address.
func rank(a netip.Addr) uint64 {
	raw := a.As16()
	return xxhash.Sum64(raw[:])
}

// Size is how many daemons there are.
func (l *Topology) Size() int { return len(l.order) }

// Flat reports whether all daemons tell one collector.
func (l *Topology) Flat() bool { return len(l.groups) == 0 }

// Fleet returns the first hosts of the fleet's order for which usable holds, up to so many.
func (l *Topology) Fleet(most int, usable func(netip.Addr) bool) []netip.Addr {
	first := make([]netip.Addr, 0, most)
	for _, h := range l.order {
		if len(first) == most {
			break
		}
		if usable(h.Address) {
			first = append(first, h.Address)
		}
	}
	return first
}

// Group returns the first hosts of the order in the host's group, as Fleet does; those of the fleet where there are no groups, or the
// host is not listed.
func (l *Topology) Group(of netip.Addr, most int, usable func(netip.Addr) bool) []netip.Addr {
	g, known := l.of[of]
	if !known {
		return l.Fleet(most, usable)
	}
	first := make([]netip.Addr, 0, most)
	for _, h := range l.groups[g] {
		if len(first) == most {
			break
		}
		if usable(h) {
			first = append(first, h)
		}
	}
	return first
}

// Members returns the hosts whose daemons tell the collector of the host's group, all of the fleet where there are no groups; the slice
// must not be changed.
func (l *Topology) Members(of netip.Addr) []netip.Addr {
	if g, known := l.of[of]; known {
		return l.groups[g]
	}
	return l.all
}

// Position is how many hosts come before this one in the fleet's order.
func (l *Topology) Position(of netip.Addr) int {
	place, _ := slices.BinarySearchFunc(l.order, rank(of), func(h ranked, r uint64) int { return cmp.Compare(h.rank, r) })
	return place
}
