package collect

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// missingAfter is the time since a daemon's last heartbeat after which the daemon counts as missing: two heartbeats did not arrive.
	missingAfter = 2*Interval + 200*time.Millisecond
	// minCollectingTime is how long a collector must have received its members' heartbeats before it can say which are missing.
	minCollectingTime = missingAfter + Interval
	// groupReportTTL is how long a group's list of missing hosts is valid.
	groupReportTTL = time.Second
)

// heartbeatMonitor finds the hosts whose heartbeats are missing.
//
// Designed for many hosts that lose power at once. Without it, a daemon would notice an unreachable host only by a request without a
// response, so each daemon would lose at least one request to each such host: a number that grows with the square of the fleet.
type heartbeatMonitor struct {
	lastSeen map[netip.Addr]time.Time
	// collectingSince is when this collector became the regular one of its members; zero while another collector is.
	collectingSince time.Time
	// groupReports has the missing hosts that groups have reported, by the address of the group's collector.
	groupReports map[netip.AddrPort]groupReport
}

type groupReport struct {
	hosts []netip.Addr
	at    time.Time
}

func newHeartbeatMonitor() heartbeatMonitor {
	return heartbeatMonitor{lastSeen: map[netip.Addr]time.Time{}, groupReports: map[netip.AddrPort]groupReport{}}
}

// record notes which hosts a heartbeat proves to be up.
func (m *heartbeatMonitor) record(hb Heartbeat, now time.Time) {
	m.lastSeen[hb.From.Addr()] = now
	for _, host := range hb.Reporters {
		m.lastSeen[host] = now
	}
	if hb.Group {
		m.groupReports[hb.From] = groupReport{hb.Missing, now}
	}
}

// setCollecting records whether this collector is the regular one of its members.
func (m *heartbeatMonitor) setCollecting(collecting bool, now time.Time) {
	switch {
	case !collecting:
		m.collectingSince = time.Time{}
	case m.collectingSince.IsZero():
		m.collectingSince = now
	}
}

// missingOf returns the members whose heartbeats are missing.
func (m *heartbeatMonitor) missingOf(members []netip.Addr, now time.Time) []netip.Addr {
	if m.collectingSince.IsZero() || now.Sub(m.collectingSince) < minCollectingTime {
		return nil
	}
	var missing []netip.Addr
	for _, host := range members {
		if now.Sub(m.lastSeen[host]) > missingAfter {
			missing = append(missing, host)
		}
	}
	return missing
}

// missingInGroups returns the hosts that groups report as missing.
func (m *heartbeatMonitor) missingInGroups(now time.Time) []netip.Addr {
	var missing []netip.Addr
	for _, report := range m.groupReports {
		if now.Sub(report.at) <= groupReportTTL {
			missing = append(missing, report.hosts...)
		}
	}
	return missing
}

// reachable returns the hosts whose daemons have recently sent heartbeats.
func (m *heartbeatMonitor) reachable(now time.Time) []netip.Addr {
	maps.DeleteFunc(m.lastSeen, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) > missingAfter })
	return slices.SortedFunc(maps.Keys(m.lastSeen), netip.Addr.Compare)
}
