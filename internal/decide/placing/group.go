package placing

import (
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// group is the hosts of one service.
type group struct {
	mu      sync.Mutex
	source  []lists.Host
	members []*member
	// near and far are the hosts of the daemon's own region and of all others, local those of its availability zone.
	near   []*member
	far    []*member
	local  []*member
	byName map[string]*member

	// latency is the mean over all hosts, in seconds, for each operation and for all.
	latency   map[string]float64
	mean      float64
	meanLimit float64
	turn      int
}

const (
	latencyWeight = 0.05
	limitWeight   = 0.05
)

// adopt takes over a new list. Hosts that stay keep what is known of them, and
// hosts that appear beside known ones ramp up. The same slice means the same list.
func (g *group) adopt(hosts []lists.Host, at place, now time.Time) {
	if len(hosts) == len(g.source) && (len(hosts) == 0 || &hosts[0] == &g.source[0]) {
		return
	}
	first := g.source == nil
	byName := make(map[string]*member, len(hosts))
	g.source, g.members, g.near, g.far, g.local = hosts, nil, nil, nil, nil
	for _, h := range hosts {
		m := g.byName[h.Host]
		if m == nil {
			m = &member{pace: 1}
			if !first {
				m.since = now
			}
		}
		m.host = h
		byName[h.Host] = m
		if h.Leaving {
			continue
		}
		g.add(m, at)
	}
	g.byName = byName
}

// add sorts a host by its distance; one whose entry names no region is as good as near.
func (g *group) add(m *member, at place) {
	g.members = append(g.members, m)
	if at.region != anyRegion && m.host.Region != anyRegion && m.host.Region != at.region {
		g.far = append(g.far, m)
		return
	}
	g.near = append(g.near, m)
	if m.host.Zone == at.zone {
		g.local = append(g.local, m)
	}
}

// learnLimit takes in a limit that a host reported. A report far off the mean
// counts as a bounded one, so that no host can shift the measure for all others.
func (g *group) learnLimit(limit float64) {
	if g.meanLimit == 0 {
		g.meanLimit = limit
	}
	limit = min(max(limit, g.meanLimit*leastCapacity), g.meanLimit*mostCapacity)
	g.meanLimit += (limit - g.meanLimit) * limitWeight
}

// learn takes in the latency of a served request and returns it relative to its operation's mean.
func (g *group) learn(operation string, latency time.Duration) float64 {
	seconds := latency.Seconds()
	mean, ok := g.latency[operation]
	if !ok || mean == 0 {
		mean = seconds
	}
	mean += (seconds - mean) * latencyWeight
	g.latency[operation] = mean
	if g.mean == 0 {
		g.mean = seconds
	}
	g.mean += (seconds - g.mean) * latencyWeight
	if mean == 0 {
		return 1
	}
	return seconds / mean
}
