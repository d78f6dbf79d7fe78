package lists

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// maxAddrPortLength is the length of the longest IP address with a port, in bytes.
const maxAddrPortLength = 64

// Host is one host that runs an upstream and the daemon local to it; Peer is the daemon's address for other daemons.
type Host struct {
	Host    string         `json:"host"`
	Service string         `json:"service"`
	Region  string         `json:"region,omitempty"`
	Zone    string         `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
}

// Hosts is the platform's list of live and leaving hosts; it lags behind the fleet.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

func (h *Host) check(entry entryRef) {
	entry.checkName("host", h.Host)
	entry.checkName("service", h.Service)
	entry.checkName("zone", h.Zone)
	if !h.Peer.IsValid() || h.Peer.Port() == 0 {
		entry.addFault("peer", "must be an IP number with a port")
	}
}

func (h *Host) appendHashes(hashes []uint64) []uint64 {
	var text [maxAddrPortLength]byte
	return append(hashes, xxhash.Sum64String(h.Host), ^xxhash.Sum64(h.Peer.AppendTo(text[:0])))
}

func (h *Hosts) check(f *faultList) {
	names := map[string]int{}
	peers := map[netip.AddrPort]int{}
	for i, host := range h.Hosts {
		entry := f.entry("hosts", i)
		if first, dup := names[host.Host]; dup {
			entry.addFault("host", "duplicate of hosts[%d] (%q)", first, host.Host)
		}
		names[host.Host] = i
		if first, dup := peers[host.Peer]; dup {
			entry.addFault("peer", "same address as hosts[%d]", first)
		}
		peers[host.Peer] = i
		host.check(entry)
	}
}
