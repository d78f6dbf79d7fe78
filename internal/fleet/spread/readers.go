package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// readersPerZone is how many daemons of an availability zone watch the platform.
//
// With one, its crash would leave the zone to the others for as long as the
// crash goes unnoticed; each further one costs a watch for every list. Three
// keep a zone reading through a crash during a restart.
const readersPerZone = 3

// Ranked returns the zone's hosts in the order in which they read the platform.
//
// The order is a rendezvous hash of the host names, so that every daemon finds
// the same one without a word, and a host that comes or goes moves no other.
func Ranked(hosts []lists.Host, zone string) []lists.Host {
	type scored struct {
		host  lists.Host
		score uint64
	}
	var all []scored
	for _, h := range hosts {
		if h.Zone == zone && !h.Leaving {
			all = append(all, scored{host: h, score: xxhash.Sum64String(zone + "/" + h.Host)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host.Host, b.host.Host))
	})
	ranked := make([]lists.Host, len(all))
	for i, s := range all {
		ranked[i] = s.host
	}
	return ranked
}

// reads reports whether the host is among the first readers that the caller doesn't skip.
func reads(ranked []lists.Host, host string, skip func(host string) bool) bool {
	before := 0
	for _, h := range ranked {
		if h.Host == host {
			return true
		}
		if !skip(h.Host) {
			before++
		}
		if before == readersPerZone {
			return false
		}
	}
	return false
}
