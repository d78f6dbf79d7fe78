package allot

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// Planner works out what the fleet can begin from what it is asked for, what that costs and how many slots there are.
//
// It is for surges of several times what a service deep in the call graph can do, of requests that each call it up to ten times.
// Moved towards a target by how full that service is, the part that is begun follows the surge by two to three seconds, overshoots,
// and swings: the service stands idle in one second and fails most of what was begun in the next. Slots and the time for which
// requests hold them are known within a beat, so the part that fits is worked out at once; how full services are found to
// be only corrects it. In the model of TestSurge, 60 slots that are asked for ten times what they can do stay over four
// fifths in use for work that is finished in time.
type Planner struct {
	held     holds
	met      map[string]*waste
	services map[string]*service
	planned  time.Time
	// unrepeated are the services to which the last plan could not repeat all that it would have had to.
	unrepeated []Shortage
}

// stage is a route at one of its services.
type stage struct{ route, service string }

// service is what is known of one service from one plan to the next.
type service struct {
	// factor is the lasting correction of the slots by how full they were found to be.
	factor float64
	// used is the part of the slots that the last plan gave out, and short whether that was less than was asked for.
	used  float64
	short bool
	// slots, full and asked are what the last plan was made from.
	slots, full, asked float64
}

// State is what is known of the fleet at one moment.
type State struct {
	// Demand is what callers ask for, in requests a second.
	Demand map[shed.Class]float64
	// Slots are those of the instances that can be used, by service. A service that nobody has told of is not in it.
	Slots map[string]float64
	// Saturation is the part of a service's slots that requests found in use, above 1 by how long they had to wait.
	Saturation map[string]float64
	CallGraph  graph.Edges
	// Instances are those whose slots are counted, by service.
	Instances map[string][]Instance
	// RetryRates are what the fleet may send once more to each service.
	RetryRates map[string]repeats.Rates
	// Shares returns the services of a route with their parts of its requests.
	Shares func(route string) map[string]float64
}

const (
	// targetFull is how full a service should be found: all slots in use, and a short queue, so that none stands empty.
	// 0.15 are some 8 ms a call, a tenth of a second in a chain of ten.
	targetFull = 1.15
	// leastFull and mostFull bound the fullness that counts.
	leastFull = 0.5
	mostFull  = 8.0
	// answer is the power of the ratio between target and fullness by which the slots are corrected at once: little, since what a
	// plan changes shows in the queue some 0.8 s later.
	answer = 0.12
	// The lasting correction finds what is not known of the costs. It moves by these powers in a second: down slowly, since the
	// queue at the beginning of a surge is from before the plan, and up faster, since a service that is short stands idle in part.
	driftDown = 0.05
	driftUp   = 0.25
	// distrust speeds up the way back of a correction, for each part that it takes away: most of what takes half of the slots away is
	// from moments in which the costs were not known.
	distrust = 1.5
	// overFull is the fullness from which on a service is short, whatever was worked out; its correction moves by overDrift then.
	overFull  = 1.6
	overDrift = 0.3
	overShort = 0.2
	// leastFactor and mostFactor bound the lasting correction, and relaxTime is how soon one that is not needed any more fades.
	leastFactor = 0.4
	mostFactor  = 1.25
	relaxTime   = 3 * time.Second
	// mostGap is the longest time that one word speaks for.
	mostGap = 500 * time.Millisecond
	// shortFrom is the part of the room from which on a service counts as used up.
	shortFrom = 0.98
	// alikePart of the room opens all lanes by the same part: without it, lookups of small organisations would get next to nothing
	// while payments come in for more than the slots.
	alikePart = 0.42
	// alikeRepeats is that part of the repeats: each that goes to a request that needs ten of them is missing for ten others.
	alikeRepeats = 0.1
)

// New returns a planner that knows nothing yet.
func New() *Planner {
	return &Planner{held: newHolds(), met: map[string]*waste{}, services: map[string]*service{}}
}

// RecordHoldTimes takes in for how long requests have held slots of the service's instance on a host.
func (p *Planner) RecordHoldTimes(service string, host netip.Addr, all []HoldTime, now time.Time) {
	p.held.add(service, host, all, now)
}

// nearlyAll is the part from which on turning away is not worth it: arithmetic leaves a little.
const nearlyAll = 0.995

// Plan returns the part of each lane that is begun, for the lanes of which it is not all.
func (p *Planner) Plan(s State, now time.Time) map[shed.Class]float64 {
	gap := min(now.Sub(p.planned), mostGap)
	p.planned = now
	p.held.settle(s, gap)
	room := p.room(s, gap)
	for service, fleet := range s.RetryRates {
		if p.repeats(service) > 0 {
			room[resource{service, again}] = fleet.Earned
		}
	}
	lanes := p.lanes(s)
	open := divide(lanes, maps.Clone(room))
	p.note(lanes, open, room)
	for l, part := range open {
		if part >= nearlyAll {
			delete(open, l)
		}
	}
	return open
}

// room returns the slots that each service has to give out, corrected by how full it is.
func (p *Planner) room(s State, gap time.Duration) map[resource]float64 {
	room := make(map[resource]float64, len(s.Slots))
	for name, count := range s.Slots {
		v := p.services[name]
		if v == nil {
			v = &service{factor: 1}
			p.services[name] = v
		}
		v.resize(count)
		v.full = s.Saturation[name]
		room[resource{name, slots}] = count * v.correct(gap)
	}
	return room
}

// correct moves the lasting correction by what the last plan has led to, and returns the part of the slots to give out.
func (v *service) correct(gap time.Duration) float64 {
	ratio := targetFull / min(max(v.full, leastFull), mostFull)
	switch {
	case v.short && v.full > overFull:
		v.drift(ratio, overShort, gap)
	case v.short && ratio > 1:
		v.drift(ratio, driftUp+distrust*max(1-v.factor, 0), gap)
	case v.short:
		v.drift(ratio, driftDown, gap)
	case v.full > overFull:
		v.drift(ratio, overDrift, gap)
	default:
		v.factor += (1 - v.factor) * min(gap.Seconds()/relaxTime.Seconds(), 1)
	}
	return v.factor * math.Pow(ratio, answer)
}

// resize takes in how many slots the service has now. What was found out about instances that are gone says nothing of those that are
// left, nor of new ones.
func (v *service) resize(slots float64) {
	if v.slots > 0 && slots != v.slots {
		v.factor = 1 + (v.factor-1)*min(slots, v.slots)/max(slots, v.slots)
	}
	v.slots = slots
}

func (v *service) drift(ratio, power float64, gap time.Duration) {
	v.factor = min(max(v.factor*math.Pow(ratio, power*gap.Seconds()), leastFactor), mostFactor)
}

// lane is a lane with the slots that all of its requests would need, by service.
type lane struct {
	shed.Class
	needs map[resource]float64
}

func (p *Planner) lanes(s State) []lane {
	costs := map[stage]map[resource]float64{}
	lanes := make([]lane, 0, len(s.Demand))
	for l, perSecond := range s.Demand {
		at := stage{l.Route, l.Service}
		cost, known := costs[at]
		if !known {
			cost = p.cost(at, s)
			costs[at] = cost
		}
		out := lane{Class: l, needs: make(map[resource]float64, len(cost))}
		for what, each := range cost {
			out.needs[what] = each * perSecond
		}
		lanes = append(lanes, out)
	}
	return lanes
}

// cost returns the slot-seconds and the repeats that one request takes of each service, with its calls and theirs.
func (p *Planner) cost(at stage, s State) map[resource]float64 {
	cost := map[resource]float64{}
	p.add(cost, at, 1)
	for to, count := range s.CallGraph[at.route] {
		for _, leg := range s.CallGraph.Hops(to, count, s.Shares) {
			p.add(cost, stage{leg.Route, leg.Service}, leg.Count)
		}
	}
	return cost
}

func (p *Planner) add(cost map[resource]float64, at stage, count float64) {
	cost[resource{at.service, slots}] += count * p.held.time(at)
	if times := p.repeats(at.service); times > 0 {
		cost[resource{at.service, again}] += count * times
	}
}
