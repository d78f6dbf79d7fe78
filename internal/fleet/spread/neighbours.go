package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const (
	// Neighbours in the same availability zone, in other availability zones of the region, and in other regions:
	// enough in the same one that a change reaches all of its daemons in a few hops of a millisecond, and enough
	// elsewhere that a change still finds many paths into a partially partitioned region or availability zone.
	sameZoneNeighbours    = 5
	sameRegionNeighbours  = 3
	otherRegionNeighbours = 2
	neighbourCount        = sameZoneNeighbours + sameRegionNeighbours + otherRegionNeighbours
	// pushFanout is the number of neighbours that a push goes to.
	pushFanout = 6
	// replaceInterval is the time after which the oldest neighbour is replaced.
	replaceInterval = 10 * time.Second
	// triesPerNeighbour bounds the random draws for each neighbour that is wanted.
	triesPerNeighbour = 8
	// monitorRanks is the number of first-ranked hosts of an availability zone that keep the readers ranked before them as neighbours.
	monitorRanks = 2 * readersPerZone
)

// neighbours are the few peers that a daemon keeps connections to for digests.
//
// Random peers for each digest would open a connection every second; a fixed
// set would leave a daemon isolated once all of it fails. So one neighbour is
// replaced every replaceInterval.
type neighbours struct {
	hosts      []lists.Host
	replacedAt time.Time
}

func (n *neighbours) reset() { n.hosts = nil }

// pick returns up to count different neighbours' addresses in random order.
func (n *neighbours) pick(rng *rand.Rand, count int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range rng.Perm(len(n.hosts)) {
		if len(out) == count {
			break
		}
		out = append(out, n.hosts[i].Peer)
	}
	return out
}

// refresh removes neighbours to skip, replaces the oldest one every replaceInterval, and fills the set.
func (n *neighbours) refresh(c *Core, now time.Time, skip func(host string) bool) {
	kept := n.hosts[:0]
	for _, h := range n.hosts {
		if !skip(h.Host) {
			kept = append(kept, h)
		}
	}
	n.hosts = kept
	if now.Sub(n.replacedAt) >= replaceInterval && len(n.hosts) >= neighbourCount {
		n.hosts = n.hosts[1:]
		n.replacedAt = now
	}
	if len(n.hosts) < neighbourCount && len(n.hosts) < len(c.activePeers) {
		n.fill(c, skip)
	}
}

func (n *neighbours) fill(c *Core, skip func(host string) bool) {
	for _, h := range c.monitoredReaders() {
		n.add(h, skip)
	}
	groups := []struct {
		count int
		match func(lists.Host) bool
	}{
		{sameZoneNeighbours, func(h lists.Host) bool { return h.Zone == c.config.Zone }},
		{sameRegionNeighbours, func(h lists.Host) bool { return h.Zone != c.config.Zone && h.Region == c.config.Region }},
		{otherRegionNeighbours, func(h lists.Host) bool { return h.Region != c.config.Region }},
		{neighbourCount, func(lists.Host) bool { return true }},
	}
	for _, g := range groups {
		n.fillFrom(c, g.count, g.match, skip)
	}
}

// fillFrom adds random hosts that match until the set has count of them or the tries are used up.
func (n *neighbours) fillFrom(c *Core, count int, match func(lists.Host) bool, skip func(host string) bool) {
	have := 0
	for _, h := range n.hosts {
		if match(h) {
			have++
		}
	}
	for tries := 0; tries < triesPerNeighbour*count && have < count && len(n.hosts) < neighbourCount; tries++ {
		h := c.randomPeer()
		if match(h) && n.add(h, skip) {
			have++
		}
	}
}

func (n *neighbours) add(h lists.Host, skip func(host string) bool) bool {
	if skip(h.Host) {
		return false
	}
	for _, other := range n.hosts {
		if other.Host == h.Host {
			return false
		}
	}
	n.hosts = append(n.hosts, h)
	return true
}

// monitoredReaders returns the readers that this daemon is next to replace: it has to find out itself whether they are reachable.
func (c *Core) monitoredReaders() []lists.Host {
	for i, h := range c.ranked {
		if h.Host == c.config.Host && i < monitorRanks {
			return c.ranked[:min(i, readersPerZone)]
		}
	}
	return nil
}

// randomPeers returns the addresses of up to count different random active peers.
func (c *Core) randomPeers(count int) []netip.AddrPort {
	count = min(count, len(c.activePeers))
	out := make([]netip.AddrPort, 0, count)
	for tries := 0; tries < triesPerNeighbour*count && len(out) < count; tries++ {
		if peer := c.randomPeer().Peer; !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}
