package status

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// Fleet has the status of each host and the concerns: what an operator should look at.
type Fleet struct {
	Hosts    []Host   `json:"hosts"`
	Concerns []string `json:"concerns"`
}

// New returns the fleet with its concerns: hosts that don't answer, aren't ready, are isolated, lend no tokens of their rate
// shards, have rejected a list, can't reach other hosts, or have older versions in force than others.
func New(hosts []Host) Fleet {
	f := Fleet{Hosts: hosts, Concerns: []string{}}
	for _, h := range hosts {
		f.checkHost(h)
	}
	for k := range lists.Kinds {
		f.checkVersions(lists.Kind(k).String())
	}
	return f
}

func (f *Fleet) addConcern(format string, args ...any) {
	f.Concerns = append(f.Concerns, fmt.Sprintf(format, args...))
}

func (f *Fleet) checkHost(h Host) {
	if h.Status == nil {
		f.addConcern("%s: %s", h.Operators, h.Error)
		return
	}
	f.checkStanding(h)
	f.checkRates(h)
	if h.Status.Suspects > 0 {
		f.addConcern("%s (%s): can't reach %d of the listed hosts and gives them no work", h.Status.Host, h.Operators, h.Status.Suspects)
	}
	for _, name := range slices.Sorted(maps.Keys(h.Status.Lists)) {
		if r := h.Status.Lists[name].Rejected; r != nil {
			f.addConcern("%s (%s): rejected %s version %d: %s", h.Status.Host, h.Operators, name, r.Version, r.Faults)
		}
	}
}

// checkStanding reports a host that accepts no callers' requests although it isn't leaving, with the likely cause.
func (f *Fleet) checkStanding(h Host) {
	if h.Status.Leaving || h.Status.Ready {
		return
	}
	switch h.Status.Standing {
	case spread.Isolated.String():
		f.addConcern("%s (%s): isolated, neither a peer nor the platform answers it: look at its network", h.Status.Host, h.Operators)
	case spread.Serving.String():
		f.addConcern("%s (%s): not ready, it waits for its part of the rates or its port", h.Status.Host, h.Operators)
	default:
		f.addConcern("%s (%s): not ready, its lists are not known to be current (%s)", h.Status.Host, h.Operators, h.Status.Standing)
	}
}

// checkRates reports a host that lends no tokens of its rate shards, and shards of a vanished host that nobody may lend from
// yet. Either way a fraction of every organisation's rate is unavailable to all hosts.
func (f *Fleet) checkRates(h Host) {
	rates := h.Status.Rates
	if h.Status.Ready && !h.Status.Leaving && !rates.MayLend {
		f.addConcern("%s (%s): lends no tokens of its rate shards: it isn't in its hosts list (version %d), or too few hosts confirm that list",
			h.Status.Host, h.Operators, rates.HostsVersion)
	}
	if rates.FencedUntil != "" {
		f.addConcern("%s (%s): rate shards of a host that vanished lie idle until %s", h.Status.Host, h.Operators, rates.FencedUntil)
	}
}

// checkVersions reports hosts that have older versions of a list in force than
// others. A change that is still spreading looks the same; if the difference
// remains some seconds later, it is a fault.
func (f *Fleet) checkVersions(list string) {
	hostsByVersion := map[uint64][]string{}
	for _, h := range f.Hosts {
		if h.Status != nil {
			version := h.Status.Lists[list].Version
			hostsByVersion[version] = append(hostsByVersion[version], h.Status.Host)
		}
	}
	if len(hostsByVersion) < 2 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(hostsByVersion)))
	for _, version := range slices.Sorted(maps.Keys(hostsByVersion)) {
		if version < newest {
			f.addConcern("%s: version %d instead of %d on %s", list, version, newest, joinNames(hostsByVersion[version]))
		}
	}
}

// maxNamedHosts limits the hosts named in one concern.
const maxNamedHosts = 5

func joinNames(names []string) string {
	if len(names) <= maxNamedHosts {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamedHosts], ", "), len(names)-maxNamedHosts)
}
