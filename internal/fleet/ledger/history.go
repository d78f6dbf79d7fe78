package ledger

import (
	"slices"
	"sync"
	"time"
)

// History is the hosts of one service as the lists of the last while named them.
//
// Daemons learn of a new list at different times, so a key may have been held
// by whom an earlier list named. A list that was skipped, and those before the
// daemon's start, may have named anybody.
//
// A daemon that is cut off goes on with a list that the others have left
// behind, and would hold keys that are theirs by now. So a list counts only
// while most of its hosts have lately said that they have the same one. Two
// lists in a row share most hosts, and each host has one list at a time: the
// two are never both confirmed for longer than the time that a confirmation
// lasts, and an earlier list is kept in mind for that time beyond the window.
//
// Two lists that share few hosts could both be confirmed, when a platform
// replaces most hosts while the old ones live on, cut off. So an earlier list is
// kept in mind until so many of its hosts are known to have left it that the
// others are no majority. Until then a key that one of them would hold is in doubt.
type History struct {
	window time.Duration

	mu        sync.Mutex
	version   uint64
	lists     []hostList
	gap       bool
	gapEnded  time.Time
	confirmed time.Time
}

type hostList struct {
	hosts []string
	// last is the newest version known to have these hosts.
	last  uint64
	ended time.Time
	// adopted tells that another daemon knew of the list, and this one did not see it.
	adopted bool
}

// Past is an earlier list that its hosts may still act on.
type Past struct {
	Hosts []string `msgpack:"hosts"`
	Last  uint64   `msgpack:"last"`
}

// ListReport is what a daemon said of its lists.
type ListReport struct {
	Version uint64   `msgpack:"version"`
	Hosts   []string `msgpack:"hosts"`
	// Past are the earlier lists that it keeps in mind and that have not ended.
	Past []Past `msgpack:"past"`
	// Gap tells that it may have missed lists.
	Gap bool `msgpack:"gap"`
}

// mostLists bounds the earlier lists kept; beyond it the oldest counts as skipped.
const mostLists = 64

// NewHistory returns a history that knows no list yet.
func NewHistory(window time.Duration) *History { return &History{window: window} }

// Observe notes the service's hosts in a version of the list.
func (h *History) Observe(version uint64, hosts []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.version {
		return
	}
	if version != h.version+1 || len(h.lists) == 0 {
		h.skip()
	}
	h.version = version
	h.drop(now)
	hosts = slices.Sorted(slices.Values(hosts))
	if n := len(h.lists); n > 0 && slices.Equal(h.lists[n-1].hosts, hosts) {
		h.lists[n-1].last = version
		return
	}
	h.confirmed = time.Time{}
	h.lists = append(h.lists, hostList{hosts: hosts, last: version})
	if len(h.lists) > mostLists {
		h.lists = h.lists[1:]
		h.skip()
	}
}

func (h *History) skip() {
	h.gap = true
	h.gapEnded = time.Time{}
}

// Confirm notes what the others said of their lists.
func (h *History) Confirm(self string, words map[string]ListReport, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same, whole := h.agreeing(self, words)
	if h.gap {
		h.adopt(words)
	}
	if 2*same <= len(h.newest()) {
		return
	}
	h.confirmed = now
	// Daemons that all missed lists can't tell each other of them, unless none is missing.
	if h.gap && h.gapEnded.IsZero() && (whole > 0 || same == len(h.newest())) {
		h.gapEnded = now
	}
	for i := range len(h.lists) - 1 {
		if l := &h.lists[i]; l.ended.IsZero() && l.over(self, words) {
			l.ended = now
		}
	}
}

// agreeing counts the newest list's hosts that have it, and those others among them that missed no list.
func (h *History) agreeing(self string, words map[string]ListReport) (same, whole int) {
	newest := h.newest()
	for _, host := range newest {
		word, heard := words[host]
		switch {
		case host == self:
			same++
		case heard && slices.Equal(word.Hosts, newest):
			same++
			if !word.Gap {
				whole++
			}
		}
	}
	return same, whole
}

// over reports whether the hosts that may still have the list are no majority of it.
//
// A daemon's version never falls, so one that has a newer list does not come back to this one.
func (l *hostList) over(self string, words map[string]ListReport) bool {
	gone := 0
	for _, host := range l.hosts {
		word, heard := words[host]
		if host == self || heard && word.Version > l.last && !slices.Equal(word.Hosts, l.hosts) {
			gone++
		}
	}
	return 2*gone >= len(l.hosts)
}

// adopt takes over the earlier lists that others keep in mind.
func (h *History) adopt(words map[string]ListReport) {
	for _, word := range words {
		for _, past := range word.Past {
			known := slices.ContainsFunc(h.lists, func(l hostList) bool { return slices.Equal(l.hosts, past.Hosts) })
			if !known && len(h.lists) < mostLists {
				h.lists = slices.Insert(h.lists, 0, hostList{hosts: past.Hosts, last: past.Last, adopted: true})
			}
		}
	}
}

// Report returns what this daemon says of its lists.
func (h *History) Report() ListReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := ListReport{Version: h.version, Hosts: h.newest(), Gap: h.gap}
	for i := range len(h.lists) - 1 {
		if l := h.lists[i]; l.ended.IsZero() {
			w.Past = append(w.Past, Past{Hosts: l.hosts, Last: l.last})
		}
	}
	return w
}

// confirmShare is the part of the window for which a confirmation lasts.
const confirmShare = 2

func (h *History) lasts() time.Duration { return h.window / confirmShare }

// Confirmed reports whether most hosts have lately had the same list.
func (h *History) Confirmed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.confirmed.IsZero() && now.Sub(h.confirmed) < h.lasts()
}

// drop forgets lists that nobody can have acted on within the window.
func (h *History) drop(now time.Time) {
	kept := h.window + h.lasts()
	h.lists = slices.DeleteFunc(h.lists, func(l hostList) bool {
		return !l.ended.IsZero() && now.Sub(l.ended) > kept
	})
	if h.gap && !h.gapEnded.IsZero() && now.Sub(h.gapEnded) > kept {
		h.gap = false
	}
}

func (h *History) newest() []string {
	if len(h.lists) == 0 {
		return nil
	}
	return h.lists[len(h.lists)-1].hosts
}

// Hosts returns the hosts of the newest list, sorted; the slice must not be changed.
func (h *History) Hosts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest()
}

// Required returns the daemons that may have held the key within the window.
func (h *History) Required(k Key, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(now)
	var all []string
	for _, l := range h.lists {
		if h.gap && !l.adopted {
			all = append(all, l.hosts...)
		} else if holder := Holder(k, l.hosts); holder != "" {
			all = append(all, holder)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Everyone returns all hosts that the lists of the window named.
func (h *History) Everyone(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(now)
	var all []string
	for _, l := range h.lists {
		all = append(all, l.hosts...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
