package lists

import "net/netip"

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

func (h *Hosts) check(f *faults) {
	names := map[string]int{}
	peers := map[netip.AddrPort]int{}
	for i, e := range h.Hosts {
		at := f.at("hosts", i)
		at.name("host", e.Host)
		at.name("service", e.Service)
		at.name("zone", e.Zone)
		if first, dup := names[e.Host]; dup {
			at.add("host", "duplicate of hosts[%d] (%q)", first, e.Host)
		}
		names[e.Host] = i
		if !e.Peer.IsValid() || e.Peer.Port() == 0 {
			at.add("peer", "must be an IP number with a port")
		}
		if first, dup := peers[e.Peer]; dup {
			at.add("peer", "same address as hosts[%d]", first)
		}
		peers[e.Peer] = i
	}
}
