package collect

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
)

// Departures counts the hosts that have left the host list although their daemons haven't said that they shut down.
//
// The platform drops the instances that it can't reach, and with them their hosts. In a network partition such hosts go on admitting
// requests by their shares of the rates. A collector that no longer counted them would give out whole rates beside these shares.
type Departures struct {
	mu     sync.Mutex
	listed map[netip.Addr]bool
	// leaving has the hosts whose daemons shut down, with the time at which this was last reported.
	leaving map[netip.Addr]time.Time
	// departed has the hosts that left the list without notice, with the time at which they did.
	departed map[netip.Addr]time.Time
}

// departureTTL is how long a departed host counts if most hosts are still listed. It outlasts the lease of the host's share, so that a daemon which is
// only cut off has stopped using its share when the others use whole rates again.
const departureTTL = quota.ShareLease + 2*time.Second

// NewDepartures returns departures without hosts.
func NewDepartures() *Departures {
	return &Departures{listed: map[netip.Addr]bool{}, leaving: map[netip.Addr]time.Time{}, departed: map[netip.Addr]time.Time{}}
}

// SetListed replaces the list of hosts.
func (d *Departures) SetListed(hosts []netip.Addr, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[netip.Addr]bool, len(hosts))
	for _, host := range hosts {
		listed[host] = true
		delete(d.departed, host)
	}
	for host := range d.listed {
		if _, leaves := d.leaving[host]; !listed[host] && !leaves {
			d.departed[host] = now
		}
	}
	d.listed = listed
}

// SetLeaving records the hosts whose daemons shut down.
func (d *Departures) SetLeaving(hosts []netip.Addr, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.leaving, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) > leavingTTL })
	for _, host := range hosts {
		d.leaving[host] = now
		delete(d.departed, host)
	}
}

// Count returns the number of hosts that have departed within departureTTL, or at any time while they are not fewer than the listed ones: they
// may be the larger side of a partition, whose leases are renewed by each other.
func (d *Departures) Count(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.departed) >= len(d.listed) {
		return len(d.departed)
	}
	maps.DeleteFunc(d.departed, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) > departureTTL })
	return len(d.departed)
}
