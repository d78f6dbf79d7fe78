package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const (
	// Neighbours of a daemon: enough near ones to fill the availability zone in a
	// few steps of a millisecond, enough far ones that a cut region or zone still has many ways in.
	nearNeighbours     = 5
	zoneNeighbours     = 3
	regionNeighbours   = 2
	neighbourCount     = nearNeighbours + zoneNeighbours + regionNeighbours
	pushWidth          = 6
	renewEvery         = 10 * time.Second
	neighbourTries     = 8
	standbysPerReaders = 2 * readersPerZone
)

// neighbours are the few peers that a daemon keeps connections to for digests.
//
// Random peers for each digest would open a connection every second; a fixed
// set would leave a daemon alone once all of it fails. So one neighbour is
// replaced every renewEvery.
type neighbours struct {
	hosts   []lists.Host
	renewed time.Time
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

// renew fills the set and replaces the oldest neighbour from time to time, and every one that can't be used.
func (n *neighbours) renew(c *Core, now time.Time, skip func(host string) bool) {
	kept := n.hosts[:0]
	for _, h := range n.hosts {
		if !skip(h.Host) {
			kept = append(kept, h)
		}
	}
	n.hosts = kept
	if now.Sub(n.renewed) >= renewEvery && len(n.hosts) >= neighbourCount {
		n.hosts = n.hosts[1:]
		n.renewed = now
	}
	if len(n.hosts) < neighbourCount && len(n.hosts) < len(c.others) {
		n.fill(c, skip)
	}
}

func (n *neighbours) fill(c *Core, skip func(host string) bool) {
	for _, h := range c.standbyFor() {
		n.add(h, skip)
	}
	groups := []struct {
		count int
		match func(lists.Host) bool
	}{
		{nearNeighbours, func(h lists.Host) bool { return h.Zone == c.config.Zone }},
		{zoneNeighbours, func(h lists.Host) bool { return h.Zone != c.config.Zone && h.Region == c.config.Region }},
		{regionNeighbours, func(h lists.Host) bool { return h.Region != c.config.Region }},
		{neighbourCount, func(lists.Host) bool { return true }},
	}
	for _, g := range groups {
		n.fillFrom(c, g.count, g.match, skip)
	}
}

// fillFrom adds random hosts of a group until it has its count or luck runs out.
func (n *neighbours) fillFrom(c *Core, count int, match func(lists.Host) bool, skip func(host string) bool) {
	have := 0
	for _, h := range n.hosts {
		if match(h) {
			have++
		}
	}
	for tries := 0; tries < neighbourTries*count && have < count && len(n.hosts) < neighbourCount; tries++ {
		h := c.randomOther()
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

// standbyFor returns the readers that this daemon is next in line for: it has to see for itself whether they live.
func (c *Core) standbyFor() []lists.Host {
	for i, h := range c.ranked {
		if h.Host == c.config.Host && i < standbysPerReaders {
			return c.ranked[:min(i, readersPerZone)]
		}
	}
	return nil
}

// sample returns up to so many different random hosts of the list.
func (c *Core) sample(count int) []netip.AddrPort {
	count = min(count, len(c.others))
	out := make([]netip.AddrPort, 0, count)
	for tries := 0; tries < neighbourTries*count && len(out) < count; tries++ {
		if to := c.randomOther().Peer; !slices.Contains(out, to) {
			out = append(out, to)
		}
	}
	return out
}
