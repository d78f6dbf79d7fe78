package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// readersPerZone is how many daemons of an availability zone watch the platform.
//
// With one, its crash would leave the availability zone without a reader until the
// crash is noticed; each further one costs the platform a watch for every list. Three
// keep one reader through a crash during another's restart.
const readersPerZone = 3

// Ranked returns an availability zone's hosts that aren't leaving, in the order in which they become readers of the platform.
//
// The order is a rendezvous hash of the host names, so that every daemon computes
// the same one without messages, and a host that joins or leaves doesn't reorder the others.
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

// isReader reports whether fewer than readersPerZone hosts that aren't skipped rank before the host.
func isReader(ranked []lists.Host, host string, skip func(host string) bool) bool {
	earlier := 0
	for _, h := range ranked {
		if h.Host == host {
			return true
		}
		if !skip(h.Host) {
			earlier++
		}
		if earlier == readersPerZone {
			return false
		}
	}
	return false
}
