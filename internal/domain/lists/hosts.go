package lists

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// maxAddrPort is the length of the longest IP number with a port, in bytes.
const maxAddrPort = 64

// Host is one upstream host with the daemon beside its upstream.
type Host struct {
	Host    string         `json:"host"`
	Service string         `json:"service"`
	Region  string         `json:"region,omitempty"`
	Zone    string         `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
}

// Hosts is the platform's lagging list of live and leaving hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

func (h *Host) check(at place) {
	at.name("host", h.Host)
	at.name("service", h.Service)
	at.name("zone", h.Zone)
	if !h.Peer.IsValid() || h.Peer.Port() == 0 {
		at.add("peer", "must be an IP number with a port")
	}
}

func (h *Host) marks(into []uint64) []uint64 {
	var text [maxAddrPort]byte
	return append(into, xxhash.Sum64String(h.Host), ^xxhash.Sum64(h.Peer.AppendTo(text[:0])))
}

func (h *Hosts) check(f *faults) {
	names := map[string]int{}
	peers := map[netip.AddrPort]int{}
	for i, e := range h.Hosts {
		at := f.at("hosts", i)
		if first, dup := names[e.Host]; dup {
			at.add("host", "duplicate of hosts[%d] (%q)", first, e.Host)
		}
		names[e.Host] = i
		if first, dup := peers[e.Peer]; dup {
			at.add("peer", "same address as hosts[%d]", first)
		}
		peers[e.Peer] = i
		e.check(at)
	}
}
