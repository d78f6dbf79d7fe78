package placing

import (
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// group holds the hosts of one service.
type group struct {
	mu sync.Mutex
	// hosts is the list that the members were built from.
	hosts   []lists.Host
	members []*member
	// sameRegion and otherRegions split the members by region; sameZone are those of sameRegion in the daemon's availability zone.
	sameRegion   []*member
	otherRegions []*member
	sameZone     []*member
	byName       map[string]*member

	// meanByOperation and meanLatency are the mean latency over all hosts in seconds, by operation and for all requests.
	meanByOperation map[string]float64
	meanLatency     float64
	// meanLimit is the mean of the concurrency limits that the hosts report.
	meanLimit float64
	// turn counts the hosts chosen by round robin.
	turn int
}

const (
	// meanLatencyWeight and meanLimitWeight are the weight of one sample in the means.
	meanLatencyWeight = 0.05
	meanLimitWeight   = 0.05
)

// setHosts replaces the host list, unless it is the same slice as before. Hosts that stay keep their state, and hosts that are added after
// the first list ramp up.
func (g *group) setHosts(hosts []lists.Host, location position, now time.Time) {
	if len(hosts) == len(g.hosts) && (len(hosts) == 0 || &hosts[0] == &g.hosts[0]) {
		return
	}
	initial := g.hosts == nil
	byName := make(map[string]*member, len(hosts))
	g.hosts, g.members, g.sameRegion, g.otherRegions, g.sameZone = hosts, nil, nil, nil, nil
	for _, h := range hosts {
		m := g.byName[h.Host]
		if m == nil {
			m = &member{relativeLatency: 1}
			if !initial {
				m.addedAt = now
			}
		}
		m.host = h
		byName[h.Host] = m
		if h.Leaving {
			continue
		}
		g.add(m, location)
	}
	g.byName = byName
}

// add adds a host to the lists of its region and availability zone. If its region or the daemon's is unknown, it counts as in the same
// region.
func (g *group) add(m *member, location position) {
	g.members = append(g.members, m)
	if location.region != anyRegion && m.host.Region != anyRegion && m.host.Region != location.region {
		g.otherRegions = append(g.otherRegions, m)
		return
	}
	g.sameRegion = append(g.sameRegion, m)
	if m.host.Zone == location.zone {
		g.sameZone = append(g.sameZone, m)
	}
}

// recordLimit records the concurrency limit that a host reported. A report far off the mean is clamped, so that no single host can
// shift the mean for all others.
func (g *group) recordLimit(limit float64) {
	if g.meanLimit == 0 {
		g.meanLimit = limit
	}
	limit = min(max(limit, g.meanLimit*minCapacity), g.meanLimit*maxCapacity)
	g.meanLimit += (limit - g.meanLimit) * meanLimitWeight
}

// recordLatency records the latency of a served request and returns it relative to its operation's mean.
func (g *group) recordLatency(operation string, latency time.Duration) float64 {
	seconds := latency.Seconds()
	mean, ok := g.meanByOperation[operation]
	if !ok || mean == 0 {
		mean = seconds
	}
	mean += (seconds - mean) * meanLatencyWeight
	g.meanByOperation[operation] = mean
	if g.meanLatency == 0 {
		g.meanLatency = seconds
	}
	g.meanLatency += (seconds - g.meanLatency) * meanLatencyWeight
	if mean == 0 {
		return 1
	}
	return seconds / mean
}
