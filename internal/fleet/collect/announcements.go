package collect

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// announcements has what daemons report as leaving: hosts whose daemons are shutting down, or instances that are about to end.
type announcements[T comparable] struct {
	reports map[netip.AddrPort]announcement[T]
}

// announcement is the last report of one daemon.
type announcement[T comparable] struct {
	items []T
	at    time.Time
}

func newAnnouncements[T comparable]() announcements[T] {
	return announcements[T]{reports: map[netip.AddrPort]announcement[T]{}}
}

// record replaces the report of a daemon, and returns what it didn't report before.
func (a announcements[T]) record(from netip.AddrPort, items []T, now time.Time) (added []T) {
	if len(items) == 0 {
		delete(a.reports, from)
		return nil
	}
	for _, item := range items {
		if !slices.Contains(a.reports[from].items, item) {
			added = append(added, item)
		}
	}
	a.reports[from] = announcement[T]{items, now}
	return added
}

// current returns what the daemons that are included report, sometimes more than once, and drops old reports.
func (a announcements[T]) current(now time.Time, included func(from netip.AddrPort) bool) []T {
	maps.DeleteFunc(a.reports, func(_ netip.AddrPort, report announcement[T]) bool { return now.Sub(report.at) > leavingTTL })
	var all []T
	for from, report := range a.reports {
		if included(from) {
			all = append(all, report.items...)
		}
	}
	return all
}

// everyDaemon includes all daemons.
func everyDaemon(netip.AddrPort) bool { return true }
