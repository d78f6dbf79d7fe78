package ledger

import (
	"slices"
	"sync"
	"time"
)

// History keeps the current and the recent host lists of one service.
//
// Daemons receive a new list at different times, so a key may have been held
// by a host of an earlier list. A list version that this daemon missed, and those
// before its start, may have contained any host.
//
// A partitioned daemon keeps using a list that the others have replaced, and
// would claim keys that they hold by now. So a list is valid only while a
// majority of its hosts have recently reported the same one. Consecutive
// lists share most hosts, and each host has one list at a time: the two
// are never both confirmed for longer than confirmationTTL, so an earlier
// list is retained for that time beyond the window.
//
// Two lists that share few hosts could both be confirmed, when the platform
// replaces most hosts while the old ones keep running behind a partition. So an
// earlier list is retained until so many of its hosts have reported a newer list
// that the others are no majority. Until then a key that one of its hosts
// would hold is in doubt and not run.
type History struct {
	window time.Duration

	mu      sync.Mutex
	version uint64
	// lists has the oldest list first and the current one last.
	lists []hostList
	// gap means that lists which this daemon missed may still matter.
	gap bool
	// gapClosed is when the lists that this daemon may have missed were known from the others' reports; zero means not yet.
	gapClosed time.Time
	// confirmedAt is when a majority of the current list's hosts last reported the same list.
	confirmedAt time.Time
}

type hostList struct {
	hosts []string
	// lastVersion is the newest version known to have these hosts.
	lastVersion uint64
	// endedAt is when the list was found to have lost its majority; zero means not yet.
	endedAt time.Time
	// adopted means that the list comes from another daemon's report and this daemon missed it.
	adopted bool
}

// FormerList is an earlier host list on which some of its hosts may still act.
type FormerList struct {
	Hosts       []string `msgpack:"hosts"`
	LastVersion uint64   `msgpack:"last"`
}

// ListReport is what a daemon reports of its host lists.
type ListReport struct {
	Version uint64   `msgpack:"version"`
	Hosts   []string `msgpack:"hosts"`
	// Former are the earlier lists that it retains and that a majority may still have.
	Former []FormerList `msgpack:"past"`
	// Gap means that it may have missed lists.
	Gap bool `msgpack:"gap"`
}

// maxLists bounds the lists kept; beyond it the oldest is dropped and counts as missed.
const maxLists = 64

// NewHistory returns a history without lists; window is how long keys are remembered.
func NewHistory(window time.Duration) *History { return &History{window: window} }

// Observe records the service's hosts in a version of the list.
func (h *History) Observe(version uint64, hosts []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.version {
		return
	}
	if version != h.version+1 || len(h.lists) == 0 {
		h.markGap()
	}
	h.version = version
	h.dropExpired(now)
	hosts = slices.Sorted(slices.Values(hosts))
	if n := len(h.lists); n > 0 && slices.Equal(h.lists[n-1].hosts, hosts) {
		h.lists[n-1].lastVersion = version
		return
	}
	h.confirmedAt = time.Time{}
	h.lists = append(h.lists, hostList{hosts: hosts, lastVersion: version})
	if len(h.lists) > maxLists {
		h.lists = h.lists[1:]
		h.markGap()
	}
}

func (h *History) markGap() {
	h.gap = true
	h.gapClosed = time.Time{}
}

// Confirm applies the other daemons' reports on their lists, by host.
func (h *History) Confirm(self string, reports map[string]ListReport, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same, withoutGap := h.countAgreeing(self, reports)
	if h.gap {
		h.adoptFormerLists(reports)
	}
	if 2*same <= len(h.newestHosts()) {
		return
	}
	h.confirmedAt = now
	// Daemons that all missed lists can't report them to each other. The gap closes once a daemon
	// without a gap, or every host of the list, has reported.
	if h.gap && h.gapClosed.IsZero() && (withoutGap > 0 || same == len(h.newestHosts())) {
		h.gapClosed = now
	}
	for i := range len(h.lists) - 1 {
		if l := &h.lists[i]; l.endedAt.IsZero() && l.lostMajority(self, reports) {
			l.endedAt = now
		}
	}
}

// countAgreeing counts the hosts of the current list that have it, and those other than self that also missed no list.
func (h *History) countAgreeing(self string, reports map[string]ListReport) (same, withoutGap int) {
	newest := h.newestHosts()
	for _, host := range newest {
		report, ok := reports[host]
		switch {
		case host == self:
			same++
		case ok && slices.Equal(report.Hosts, newest):
			same++
			if !report.Gap {
				withoutGap++
			}
		}
	}
	return same, withoutGap
}

// lostMajority reports whether the hosts that may still have the list are no majority of its hosts.
//
// A daemon's version never decreases, so a daemon with a newer list does not return to this one.
func (l *hostList) lostMajority(self string, reports map[string]ListReport) bool {
	departed := 0
	for _, host := range l.hosts {
		report, ok := reports[host]
		if host == self || ok && report.Version > l.lastVersion && !slices.Equal(report.Hosts, l.hosts) {
			departed++
		}
	}
	return 2*departed >= len(l.hosts)
}

// adoptFormerLists adds the earlier lists that other daemons retain.
func (h *History) adoptFormerLists(reports map[string]ListReport) {
	for _, report := range reports {
		for _, former := range report.Former {
			known := slices.ContainsFunc(h.lists, func(l hostList) bool { return slices.Equal(l.hosts, former.Hosts) })
			if !known && len(h.lists) < maxLists {
				h.lists = slices.Insert(h.lists, 0, hostList{hosts: former.Hosts, lastVersion: former.LastVersion, adopted: true})
			}
		}
	}
}

// Report returns this daemon's report on its lists.
func (h *History) Report() ListReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := ListReport{Version: h.version, Hosts: h.newestHosts(), Gap: h.gap}
	for i := range len(h.lists) - 1 {
		if l := h.lists[i]; l.endedAt.IsZero() {
			report.Former = append(report.Former, FormerList{Hosts: l.hosts, LastVersion: l.lastVersion})
		}
	}
	return report
}

// confirmationsPerWindow is the number of confirmation TTLs in a window.
const confirmationsPerWindow = 2

// confirmationTTL returns how long a confirmation of a list is valid.
func (h *History) confirmationTTL() time.Duration { return h.window / confirmationsPerWindow }

// Confirmed reports whether a majority of the current list's hosts has recently reported the same list.
func (h *History) Confirmed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.confirmedAt.IsZero() && now.Sub(h.confirmedAt) < h.confirmationTTL()
}

// dropExpired removes lists on which no daemon can have acted within the window.
func (h *History) dropExpired(now time.Time) {
	retention := h.window + h.confirmationTTL()
	h.lists = slices.DeleteFunc(h.lists, func(l hostList) bool {
		return !l.endedAt.IsZero() && now.Sub(l.endedAt) > retention
	})
	if h.gap && !h.gapClosed.IsZero() && now.Sub(h.gapClosed) > retention {
		h.gap = false
	}
}

func (h *History) newestHosts() []string {
	if len(h.lists) == 0 {
		return nil
	}
	return h.lists[len(h.lists)-1].hosts
}

// Hosts returns the hosts of the current list, sorted; the slice must not be changed.
func (h *History) Hosts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestHosts()
}

// PossibleHolders returns the daemons that may have held the key within the window: the key's holder in
// each list. While a list may have been missed, any host of the lists that this daemon saw counts.
func (h *History) PossibleHolders(key Key, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired(now)
	var hosts []string
	for _, l := range h.lists {
		if h.gap && !l.adopted {
			hosts = append(hosts, l.hosts...)
		} else if holder := Holder(key, l.hosts); holder != "" {
			hosts = append(hosts, holder)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// AllHosts returns the hosts of all retained lists, sorted.
func (h *History) AllHosts(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired(now)
	var hosts []string
	for _, l := range h.lists {
		hosts = append(hosts, l.hosts...)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
