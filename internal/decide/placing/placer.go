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
// It is for a service with one slow or dead instance among healthy ones, for
// availability zones with uneven demand, and for instances that come cold.
// Choosing the best of all hosts by old news sends everyone to the same one;
// the better of two random hosts doesn't, and costs the same for four hosts and
// for four hundred.
type Placer struct {
	at     place
	kind   Kind
	choose func(n int) int

	mu     sync.RWMutex
	groups map[string]*group
}

const (
	// exploreOneIn is how often the first of two hosts is taken whatever its
	// score, so that one that was slow or dead is found well again.
	exploreOneIn = 64
	// crossZone is the time that another availability zone costs, there and back.
	crossZone = 2 * time.Millisecond
	// draws is how often a host is drawn at random before all are looked through.
	draws = 4
)

// place is where a daemon is.
type place struct {
	region string
	zone   string
}

// anyRegion counts the hosts of all regions as near.
const anyRegion = ""

// Option sets one property of a placer.
type Option func(*Placer)

// WithKind sets the way to choose, TwoChoices by default.
func WithKind(k Kind) Option { return func(p *Placer) { p.kind = k } }

// WithRegion sets the daemon's region, whose hosts go before all others; without it distance between regions counts for nothing.
func WithRegion(region string) Option { return func(p *Placer) { p.at.region = region } }

// WithChoose sets the source of chance, whole numbers from 0 up to below n.
func WithChoose(f func(n int) int) Option { return func(p *Placer) { p.choose = f } }

// New returns a placer for a daemon in the zone.
func New(zone string, opts ...Option) *Placer {
	p := &Placer{at: place{zone: zone}, choose: rand.IntN, groups: map[string]*group{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Placement is one request on its way to a host; Settle must follow.
type Placement struct {
	Host   lists.Host
	group  *group
	member *member
	begun  time.Time
}

// Pick returns a host of the service that is not leaving and not among the
// tried ones, or false. The hosts are those of one immutable view.
func (p *Placer) Pick(now time.Time, service string, hosts []lists.Host, tried []string) (Placement, bool) {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adopt(hosts, p.at, now)
	m := p.pick(now, g, tried)
	if m == nil {
		return Placement{}, false
	}
	m.inFlight++
	return Placement{Host: m.host, group: g, member: m, begun: now}, true
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
	g = &group{latency: map[string]float64{}}
	p.groups[service] = g
	return g
}

func (p *Placer) pick(now time.Time, g *group, tried []string) *member {
	switch p.kind {
	case RoundRobin:
		return g.next(tried)
	case LeastLatency:
		return g.fastest(now, tried)
	default:
		return p.inRegion(now, g, tried)
	}
}

// inRegion returns a host of the own region, or of another one to the degree
// that the own one lately refused or failed.
//
// It is for a service in several regions, tens of milliseconds apart. The load
// that other daemons put on a far host is not known here, so by its score it
// looks idle: a busy day at home would send a fifth of the requests across an
// ocean, each many times as long as the work itself. Refusals are known for
// certain, and what is sent on grows and fades with them, so that regions
// neither swing from one to the other nor fail alone.
func (p *Placer) inRegion(now time.Time, g *group, tried []string) *member {
	near := p.inZone(now, g, tried)
	if len(g.far) == 0 || near != nil && p.chance() >= near.spent(now) {
		return near
	}
	far := p.better(now, g, p.draw(g.far, tried, nil), p.draw(g.far, tried, nil))
	if far == nil || near != nil && far.spent(now) > near.spent(now) {
		return near
	}
	return far
}

// chance returns a random number from 0 up to below 1, in steps fine enough for a share.
func (p *Placer) chance() float64 { return float64(p.choose(chanceSteps)) / chanceSteps }

const chanceSteps = 1024

// inZone returns the better of two hosts of the own region, the first from the
// own availability zone if it has any: that one is taken while it is as good,
// counting the time that the other's distance costs.
func (p *Placer) inZone(now time.Time, g *group, tried []string) *member {
	first := p.draw(g.local, tried, nil)
	if first == nil {
		first = p.draw(g.near, tried, nil)
	}
	if first == nil {
		return nil
	}
	return p.better(now, g, first, p.draw(g.near, tried, first))
}

// better returns the better of two hosts, either of which may be missing; now
// and then the first whatever it is.
func (p *Placer) better(now time.Time, g *group, first, second *member) *member {
	if first == nil || second == nil || first == second || p.choose(exploreOneIn) == 0 {
		return first
	}
	if p.cost(now, g, second) < p.cost(now, g, first) {
		return second
	}
	return first
}

func (p *Placer) cost(now time.Time, g *group, m *member) float64 {
	cost := m.score(now, g.meanLimit)
	if m.host.Zone != p.at.zone && g.mean > 0 {
		cost += crossZone.Seconds() / g.mean
	}
	return cost
}

// draw returns a random member that is neither tried nor the other one, or nil if there is none.
func (p *Placer) draw(from []*member, tried []string, other *member) *member {
	if len(from) == 0 {
		return nil
	}
	at := 0
	for range draws {
		at = p.choose(len(from))
		if m := from[at]; m != other && !slices.Contains(tried, m.host.Host) {
			return m
		}
	}
	return after(from, at, tried, other)
}

// after looks through all members from a place on.
func after(from []*member, at int, tried []string, other *member) *member {
	for i := range from {
		m := from[(at+i)%len(from)]
		if m != other && !slices.Contains(tried, m.host.Host) {
			return m
		}
	}
	return nil
}

func (g *group) next(tried []string) *member {
	if len(g.members) == 0 {
		return nil
	}
	g.turn++
	return after(g.members, g.turn%len(g.members), tried, nil)
}

func (g *group) fastest(now time.Time, tried []string) *member {
	var best *member
	for _, m := range g.members {
		if slices.Contains(tried, m.host.Host) {
			continue
		}
		if best == nil || m.paceAt(now)/m.health(now) < best.paceAt(now)/best.health(now) {
			best = m
		}
	}
	return best
}

// Settle ends a placement and learns from it.
func (p *Placer) Settle(now time.Time, pl Placement, operation string, e Ending, load call.Load) {
	g, m := pl.group, pl.member
	g.mu.Lock()
	defer g.mu.Unlock()
	m.inFlight--
	ratio := 1.0
	if e == Served {
		ratio = g.learn(operation, now.Sub(pl.begun))
	}
	m.settle(now, e, ratio)
	if load.Limit <= 0 {
		return
	}
	m.load, m.loadAt = load, now
	g.learnLimit(float64(load.Limit))
}
