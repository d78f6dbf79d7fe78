package placing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Placer chooses hosts for one daemon.
//
// Designed for a service with one slow or unreachable instance among healthy ones, for availability zones with uneven demand, and for
// instances that start cold. Choosing the best of all hosts on outdated state sends all daemons to the same one; the better of two
// random hosts doesn't, and costs the same for four hosts and for four hundred.
type Placer struct {
	position position
	kind     Kind
	randIntN func(n int) int

	mu     sync.RWMutex
	groups map[string]*group
}

const (
	// exploreOneIn is how often the first of two hosts is taken regardless of its score, so that the recovery of a host that was slow or
	// unreachable is noticed.
	exploreOneIn = 64
	// crossZoneRTT is the round-trip time to another availability zone.
	crossZoneRTT = 2 * time.Millisecond
	// maxDraws is how many random draws are made before all hosts are searched.
	maxDraws = 4
)

// position is the region and availability zone of a daemon.
type position struct {
	region string
	zone   string
}

// anyRegion treats the hosts of all regions as the same region's.
const anyRegion = ""

// Option configures a placer.
type Option func(*Placer)

// WithKind sets the policy, TwoChoices by default.
func WithKind(k Kind) Option { return func(p *Placer) { p.kind = k } }

// WithRegion sets the daemon's region, whose hosts take precedence over all others; without it the region is ignored.
func WithRegion(region string) Option { return func(p *Placer) { p.position.region = region } }

// WithRandIntN sets the random source, integers from 0 up to below n.
func WithRandIntN(randIntN func(n int) int) Option { return func(p *Placer) { p.randIntN = randIntN } }

// New returns a placer for a daemon in the availability zone.
func New(zone string, opts ...Option) *Placer {
	p := &Placer{position: position{zone: zone}, randIntN: rand.IntN, groups: map[string]*group{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Placement is a request that is in flight to a host; Settle must follow.
type Placement struct {
	Host      lists.Host
	group     *group
	member    *member
	startedAt time.Time
}

// Pick returns a host of the service that isn't leaving and not among the tried ones; false if there is none. The slice of hosts must
// not change afterwards.
func (p *Placer) Pick(now time.Time, service string, hosts []lists.Host, tried []string) (Placement, bool) {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setHosts(hosts, p.position, now)
	m := p.pick(now, g, tried)
	if m == nil {
		return Placement{}, false
	}
	m.inFlight++
	return Placement{Host: m.host, group: g, member: m, startedAt: now}, true
}

func (p *Placer) group(service string) *group {
	p.mu.RLock()
	g := p.groups[service]
	p.mu.RUnlock()
	if g != nil {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[service]; g != nil {
		return g
	}
	g = &group{meanByOperation: map[string]float64{}}
	p.groups[service] = g
	return g
}

func (p *Placer) pick(now time.Time, g *group, tried []string) *member {
	switch p.kind {
	case RoundRobin:
		return g.nextInTurn(tried)
	case LeastLatency:
		return g.lowestLatency(now, tried)
	default:
		return p.pickByRegion(now, g, tried)
	}
}

// pickByRegion returns a host of the daemon's own region, or one of another region; the probability of the latter is the fraction of
// requests that the host chosen in the own region recently left unserved.
//
// Designed for a service in several regions, tens of milliseconds apart. This daemon doesn't see the load that other daemons put on a
// host in another region, so by its score the host looks idle: a busy day in the daemon's own region would send a fifth of the requests
// across an ocean, each taking many times as long as the work itself. Refusals are known for certain, and the fraction that is sent to
// other regions grows and decays with them, so that regions neither oscillate nor fail alone.
func (p *Placer) pickByRegion(now time.Time, g *group, tried []string) *member {
	same := p.pickInRegion(now, g, tried)
	if len(g.otherRegions) == 0 || same != nil && p.randFraction() >= same.unservedFraction(now) {
		return same
	}
	other := p.betterOf(now, g, p.draw(g.otherRegions, tried, nil), p.draw(g.otherRegions, tried, nil))
	if other == nil || same != nil && other.unservedFraction(now) > same.unservedFraction(now) {
		return same
	}
	return other
}

// randFraction returns a random number in [0, 1), in steps fine enough for a probability.
func (p *Placer) randFraction() float64 {
	return float64(p.randIntN(randFractionSteps)) / randFractionSteps
}

const randFractionSteps = 1024

// pickInRegion returns the better of two hosts of the own region. The first is from the own availability zone if it has any, and is
// taken while it is as good as the second, counting the round trip to the second's availability zone.
func (p *Placer) pickInRegion(now time.Time, g *group, tried []string) *member {
	first := p.draw(g.sameZone, tried, nil)
	if first == nil {
		first = p.draw(g.sameRegion, tried, nil)
	}
	if first == nil {
		return nil
	}
	return p.betterOf(now, g, first, p.draw(g.sameRegion, tried, first))
}

// betterOf returns the better of two hosts, either of which may be nil; occasionally the first regardless of its score.
func (p *Placer) betterOf(now time.Time, g *group, first, second *member) *member {
	if first == nil || second == nil || first == second || p.randIntN(exploreOneIn) == 0 {
		return first
	}
	if p.cost(now, g, second) < p.cost(now, g, first) {
		return second
	}
	return first
}

// cost is the member's score plus the round trip to its availability zone.
func (p *Placer) cost(now time.Time, g *group, m *member) float64 {
	cost := m.score(now, g.meanLimit)
	if m.host.Zone != p.position.zone && g.meanLatency > 0 {
		cost += crossZoneRTT.Seconds() / g.meanLatency
	}
	return cost
}

// draw returns a random member that is neither tried nor the other one, or nil if there is none.
func (p *Placer) draw(members []*member, tried []string, other *member) *member {
	if len(members) == 0 {
		return nil
	}
	index := 0
	for range maxDraws {
		index = p.randIntN(len(members))
		if m := members[index]; m != other && !slices.Contains(tried, m.host.Host) {
			return m
		}
	}
	return firstUntried(members, index, tried, other)
}

// firstUntried returns the first member from the start index on that is neither tried nor the other one, or nil.
func firstUntried(members []*member, start int, tried []string, other *member) *member {
	for i := range members {
		m := members[(start+i)%len(members)]
		if m != other && !slices.Contains(tried, m.host.Host) {
			return m
		}
	}
	return nil
}

// nextInTurn returns the next member in turn that isn't tried.
func (g *group) nextInTurn(tried []string) *member {
	if len(g.members) == 0 {
		return nil
	}
	g.turn++
	return firstUntried(g.members, g.turn%len(g.members), tried, nil)
}

// lowestLatency returns the member with the lowest relative latency for its health.
func (g *group) lowestLatency(now time.Time, tried []string) *member {
	var best *member
	for _, m := range g.members {
		if slices.Contains(tried, m.host.Host) {
			continue
		}
		if best == nil || m.relativeLatencyAt(now)/m.health(now) < best.relativeLatencyAt(now)/best.health(now) {
			best = m
		}
	}
	return best
}

// Settle ends a placement and records its result and the load that the host reported.
func (p *Placer) Settle(now time.Time, placement Placement, operation string, result Result, load call.Load) {
	g, m := placement.group, placement.member
	g.mu.Lock()
	defer g.mu.Unlock()
	m.inFlight--
	ratio := 1.0
	if result == Served {
		ratio = g.recordLatency(operation, now.Sub(placement.startedAt))
	}
	m.settle(now, result, ratio)
	if load.Limit <= 0 {
		return
	}
	m.load, m.reportedAt = load, now
	g.recordLimit(float64(load.Limit))
}
