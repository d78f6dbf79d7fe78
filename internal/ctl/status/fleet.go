package status

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// Fleet is the hosts that were asked, with what needs a look.
type Fleet struct {
	Hosts    []Host   `json:"hosts"`
	Concerns []string `json:"concerns"`
}

// New returns the fleet with its concerns: hosts without an answer, not ready, isolated, without a part in
// the rates, with a rejected value, with hosts that they can't reach, or with other versions in force than the rest.
func New(hosts []Host) Fleet {
	f := Fleet{Hosts: hosts, Concerns: []string{}}
	for _, h := range hosts {
		f.host(h)
	}
	for k := range lists.Kinds {
		f.versions(lists.Kind(k).String())
	}
	return f
}

func (f *Fleet) concern(format string, args ...any) {
	f.Concerns = append(f.Concerns, fmt.Sprintf(format, args...))
}

func (f *Fleet) host(h Host) {
	if h.Status == nil {
		f.concern("%s: %s", h.Operators, h.Error)
		return
	}
	f.standing(h)
	f.rates(h)
	if h.Status.Suspects > 0 {
		f.concern("%s (%s): can't reach %d of the listed hosts and gives them no work", h.Status.Host, h.Operators, h.Status.Suspects)
	}
	for _, name := range slices.Sorted(maps.Keys(h.Status.Lists)) {
		if r := h.Status.Lists[name].Rejected; r != nil {
			f.concern("%s (%s): rejected %s version %d: %s", h.Status.Host, h.Operators, name, r.Version, r.Faults)
		}
	}
}

// standing tells of a host that takes no callers, and what may be the cause.
func (f *Fleet) standing(h Host) {
	if h.Status.Leaving || h.Status.Ready {
		return
	}
	switch h.Status.Standing {
	case spread.Isolated.String():
		f.concern("%s (%s): isolated, neither a peer nor the platform answers it: look at its network", h.Status.Host, h.Operators)
	case spread.Serving.String():
		f.concern("%s (%s): not ready, it waits for its part of the rates or its port", h.Status.Host, h.Operators)
	default:
		f.concern("%s (%s): not ready, its lists are not known to be current (%s)", h.Status.Host, h.Operators, h.Status.Standing)
	}
}

// rates tells of a host that keeps its part of every organisation's rate from all hosts.
func (f *Fleet) rates(h Host) {
	r := h.Status.Rates
	if h.Status.Ready && !h.Status.Leaving && !r.MayLend {
		f.concern("%s (%s): lends no tokens of its rate shards: it isn't in its hosts list (version %d), or too few hosts confirm that list",
			h.Status.Host, h.Operators, r.HostsVersion)
	}
	if r.FencedUntil != "" {
		f.concern("%s (%s): rate shards of a host that vanished lie idle until %s", h.Status.Host, h.Operators, r.FencedUntil)
	}
}

// versions tells of hosts that hold different versions of one list; a second
// look some seconds later tells whether it is a change on its way.
func (f *Fleet) versions(list string) {
	holders := map[uint64][]string{}
	for _, h := range f.Hosts {
		if h.Status != nil {
			version := h.Status.Lists[list].Version
			holders[version] = append(holders[version], h.Status.Host)
		}
	}
	if len(holders) < 2 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(holders)))
	for _, version := range slices.Sorted(maps.Keys(holders)) {
		if version < newest {
			f.concern("%s: version %d instead of %d on %s", list, version, newest, some(holders[version]))
		}
	}
}

// mostNamed bounds the hosts named in one line.
const mostNamed = 5

func some(names []string) string {
	if len(names) <= mostNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:mostNamed], ", "), len(names)-mostNamed)
}
