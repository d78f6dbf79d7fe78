package status

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Fleet is the hosts that were asked, with what needs a look.
type Fleet struct {
	Hosts    []Host   `json:"hosts"`
	Concerns []string `json:"concerns"`
}

// New returns the fleet with its concerns: hosts without an answer, not ready,
// with a rejected value, or with other versions in force than the rest.
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
	if !h.Status.Ready {
		f.concern("%s (%s): not ready, its lists are not known to be current (%s)", h.Status.Host, h.Operators, h.Status.Standing)
	}
	for _, name := range slices.Sorted(maps.Keys(h.Status.Lists)) {
		if r := h.Status.Lists[name].Rejected; r != nil {
			f.concern("%s (%s): rejected %s version %d: %s", h.Status.Host, h.Operators, name, r.Version, r.Faults)
		}
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
