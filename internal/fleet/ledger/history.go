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
	ended time.Time
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
		return
	}
	h.confirmed = time.Time{}
	h.lists = append(h.lists, hostList{hosts: hosts})
	if len(h.lists) > mostLists {
		h.lists = h.lists[1:]
		h.skip()
	}
}

func (h *History) skip() {
	h.gap = true
	h.gapEnded = time.Time{}
}

// Confirm notes which hosts each of the others has in its newest list.
func (h *History) Confirm(self string, others map[string][]string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newest()
	same := 0
	for _, host := range newest {
		if host == self || slices.Equal(others[host], newest) {
			same++
		}
	}
	if 2*same <= len(newest) {
		return
	}
	h.confirmed = now
	if h.gap && h.gapEnded.IsZero() {
		h.gapEnded = now
	}
	for i := range len(h.lists) - 1 {
		if h.lists[i].ended.IsZero() {
			h.lists[i].ended = now
		}
	}
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
		if h.gap {
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
