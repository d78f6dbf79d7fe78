package allot

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// Planner computes which fraction of each class the fleet can admit, from the demand, the slots and the slot time that each request costs.
//
// It handles surges of several times the capacity of a service deep in the call graph, of requests that each call it up to ten times.
// A controller that only moved the admitted fraction towards a target saturation would follow the surge two to three seconds late,
// overshoot and oscillate: the service would idle in one second and fail most admitted requests in the next. Slots and hold times are
// known within a heartbeat, so the fraction that fits is computed at once, and measured saturation only corrects it.
type Planner struct {
	holdTimes  holdTimes
	deliveries map[string]*deliveryStats
	services   map[string]*service
	lastPlan   time.Time
	// retryShortages are the services whose retry budget limited the last plan.
	retryShortages []Shortage
	// noRetry has the fractions of classes that the last plan admits without retries, where there are any.
	noRetry map[shed.Class]float64
	// disabled are the disabled mechanisms.
	disabled mechanism.Set
}

// routeService is a route at one of the services that serve it.
type routeService struct{ route, service string }

// service is the planner's state of one service, kept from one plan to the next.
type service struct {
	// correction is the lasting (integral) correction of the slots by measured saturation.
	correction float64
	// allocatedFraction is the slots that the last plan allocated, divided by all slots; constrained means that they limited the plan.
	allocatedFraction float64
	constrained       bool
	// slots, saturation and requested (the slots that all demand would take) are the inputs of the last plan.
	slots, saturation, requested float64
}

// State is the state of the fleet at one moment.
type State struct {
	// Demand is the offered load in requests per second.
	Demand map[shed.Class]float64
	// Slots are the usable slots by service. A service that no daemon has reported is missing from it.
	Slots map[string]float64
	// Saturation is the mean saturation of each service, as defined by demand.Service.Saturation. It is missing where all instances are cold.
	Saturation map[string]float64
	CallGraph  graph.Edges
	// Instances are the instances whose slots are counted, by service.
	Instances map[string][]Instance
	// RetryRates are the fleet's retry budget income and retry demand by service.
	RetryRates map[string]repeats.Rates
	// Shares returns the services of a route and the fraction of its requests that each receives.
	Shares func(route string) map[string]float64
}

const (
	// targetSaturation is the saturation a service is held at: all slots in use and a short queue, so that no slot is idle.
	// A queue of 0.15 adds about 8 ms per call, or a tenth of a second in a chain of ten.
	targetSaturation = 1.15
	// minSaturation and maxSaturation clamp the measured saturation.
	minSaturation = 0.5
	maxSaturation = 8.0
	// proportionalExponent is the exponent of target/saturation in the immediate correction: small, since the effect of a plan
	// shows in the queue about 0.8 s later.
	proportionalExponent = 0.12
	// The lasting correction compensates for errors in the known costs. These are its exponents per second: a slow one downwards, since the
	// queue at the start of a surge predates the plan, and a faster one upwards, since a constrained service then has idle slots.
	integralDownExponent = 0.05
	integralUpExponent   = 0.25
	// recoveryGain is added to the upward exponent, in proportion to the fraction of slots that the correction takes away: a correction
	// that takes half of the slots mostly stems from moments when the costs were unknown.
	recoveryGain = 1.5
	// A service that exceeds overloadSaturation is overloaded whatever the plan expected. Its correction then moves by
	// unplannedOverloadExponent per second, or by plannedOverloadExponent if the last plan already limited the service.
	overloadSaturation        = 1.6
	unplannedOverloadExponent = 0.3
	plannedOverloadExponent   = 0.2
	// minCorrection and maxCorrection clamp the lasting correction; relaxTimeConstant is how fast it returns to 1 once it isn't needed.
	minCorrection     = 0.4
	maxCorrection     = 1.25
	relaxTimeConstant = 3 * time.Second
	// maxElapsed bounds the time for which one measurement moves the correction.
	maxElapsed = 500 * time.Millisecond
	// exhaustedFraction is the allocated fraction of a resource from which on it counts as exhausted.
	exhaustedFraction = 0.98
	// equalShare is the fraction of the slots that admits all classes by equal fractions: without it, lookups of small organisations
	// would get next to nothing while payments demand more than all slots.
	equalShare = 0.42
	// equalRetryShare is the same for retries, and smaller: a request that needs ten retries takes them from ten others.
	equalRetryShare = 0.1
	// plannedRetryFraction is the fraction of the retry budget's income that is planned for: a daemon's need varies between two heartbeats, and
	// a request fails if one of the retries of its sub-calls is denied.
	plannedRetryFraction = 0.95
)

// Option sets one property of a planner.
type Option func(*Planner)

// Without disables mechanisms.
func Without(s mechanism.Set) Option { return func(p *Planner) { p.disabled = s } }

// New returns a planner without data.
func New(opts ...Option) *Planner {
	p := &Planner{holdTimes: newHoldTimes(), deliveries: map[string]*deliveryStats{}, services: map[string]*service{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// RecordHoldTimes records how long requests held slots of the service's instance on a host.
func (p *Planner) RecordHoldTimes(service string, host netip.Addr, samples []HoldTime, now time.Time) {
	p.holdTimes.add(service, host, samples, now)
}

// admitAllThreshold is the fraction from which on all of a class is admitted: the rest may be a rounding error and isn't worth shedding.
const admitAllThreshold = 0.995

// Plan returns the admitted fraction of each class that isn't admitted in full.
func (p *Planner) Plan(s State, now time.Time) map[shed.Class]float64 {
	elapsed := min(now.Sub(p.lastPlan), maxElapsed)
	p.lastPlan = now
	p.holdTimes.updatePlanned(s, elapsed)
	capacity := p.capacity(s, elapsed)
	for service, rates := range s.RetryRates {
		if p.retriesPerDelivery(service) > 0 {
			capacity[resource{service, retries}] = plannedRetryFraction * rates.Earned
		}
	}
	classes := p.classNeeds(s)
	remaining := maps.Clone(capacity)
	fractions := allocate(classes, remaining)
	p.recordPlan(classes, fractions, capacity)
	withRetries := maps.Clone(fractions)
	allocateWithoutRetries(classes, fractions, remaining)
	p.noRetry = map[shed.Class]float64{}
	for class, fraction := range fractions {
		if fraction > withRetries[class] {
			p.noRetry[class] = fraction - withRetries[class]
		}
		if fraction >= admitAllThreshold && p.noRetry[class] == 0 {
			delete(fractions, class)
		}
	}
	return fractions
}

// NoRetryFraction returns which fraction of the class's requests the last plan admits without retries; it is part of what Plan returned.
func (p *Planner) NoRetryFraction(class shed.Class) float64 { return p.noRetry[class] }

// capacity returns the slots that each service can allocate, corrected by its saturation.
func (p *Planner) capacity(s State, elapsed time.Duration) map[resource]float64 {
	capacity := make(map[resource]float64, len(s.Slots))
	for name, count := range s.Slots {
		svc := p.services[name]
		if svc == nil {
			svc = &service{correction: 1}
			p.services[name] = svc
		}
		svc.resize(count)
		svc.saturation = targetSaturation
		if saturation, known := s.Saturation[name]; known {
			svc.saturation = saturation
		}
		capacity[resource{name, slots}] = count * svc.updateCorrection(elapsed)
	}
	return capacity
}

// updateCorrection moves the lasting correction by the effect of the last plan, and returns the factor by which to scale the slots.
func (s *service) updateCorrection(elapsed time.Duration) float64 {
	ratio := targetSaturation / min(max(s.saturation, minSaturation), maxSaturation)
	switch {
	case s.constrained && s.saturation > overloadSaturation:
		s.integrate(ratio, plannedOverloadExponent, elapsed)
	case s.constrained && ratio > 1:
		s.integrate(ratio, integralUpExponent+recoveryGain*max(1-s.correction, 0), elapsed)
	case s.constrained:
		s.integrate(ratio, integralDownExponent, elapsed)
	case s.saturation > overloadSaturation:
		s.integrate(ratio, unplannedOverloadExponent, elapsed)
	default:
		s.correction += (1 - s.correction) * min(elapsed.Seconds()/relaxTimeConstant.Seconds(), 1)
	}
	return s.correction * math.Pow(ratio, proportionalExponent)
}

// resize sets the number of slots. A correction found with the previous instances doesn't apply to their replacements or to new
// ones, so it is reduced in proportion to the change.
func (s *service) resize(slots float64) {
	if s.slots > 0 && slots != s.slots {
		s.correction = 1 + (s.correction-1)*min(slots, s.slots)/max(slots, s.slots)
	}
	s.slots = slots
}

// integrate moves the lasting correction by the ratio of target to measured saturation; the exponent is per second.
func (s *service) integrate(ratio, exponent float64, elapsed time.Duration) {
	s.correction = min(max(s.correction*math.Pow(ratio, exponent*elapsed.Seconds()), minCorrection), maxCorrection)
}

// classNeeds is a class with the amount of each resource that all of its requests would need.
type classNeeds struct {
	shed.Class
	needs map[resource]float64
	// firstAttemptSuccess is the probability that a request succeeds without retries, or 0 if that isn't known or no retries are planned for it.
	firstAttemptSuccess float64
}

func (p *Planner) classNeeds(s State) []classNeeds {
	costs := map[routeService]map[resource]float64{}
	classes := make([]classNeeds, 0, len(s.Demand))
	for class, perSecond := range s.Demand {
		key := routeService{class.Route, class.Service}
		cost, known := costs[key]
		if !known {
			cost = p.cost(key, s)
			costs[key] = cost
		}
		c := classNeeds{Class: class, needs: make(map[resource]float64, len(cost)), firstAttemptSuccess: p.firstAttemptSuccess(key, cost)}
		for r, perRequest := range cost {
			c.needs[r] = perRequest * perSecond
		}
		classes = append(classes, c)
	}
	return classes
}

// cost returns the slot-seconds and the retries that one request takes of each service, including its sub-calls and theirs.
func (p *Planner) cost(key routeService, s State) map[resource]float64 {
	cost := map[resource]float64{}
	p.addCost(cost, key, 1)
	for target, calls := range s.CallGraph[key.route] {
		for _, hop := range s.CallGraph.Hops(target, calls, s.Shares) {
			p.addCost(cost, routeService{hop.Route, hop.Service}, hop.Count)
		}
	}
	return cost
}

func (p *Planner) addCost(cost map[resource]float64, key routeService, runs float64) {
	cost[resource{key.service, slots}] += runs * p.holdTimes.estimate(key)
	if perDelivery := p.retriesPerDelivery(key.service); perDelivery > 0 {
		cost[resource{key.service, retries}] += runs * perDelivery
	}
}

// firstAttemptSuccess returns the probability that a request which needs retries of its own service alone succeeds without them. Where its
// sub-calls need retries, it returns 0: these are made elsewhere, by daemons that can't tell which sub-calls must do without.
func (p *Planner) firstAttemptSuccess(key routeService, cost map[resource]float64) float64 {
	own := cost[resource{key.service, retries}]
	perDelivery := p.retriesPerDelivery(key.service)
	for r, need := range cost {
		if r.kind == retries && r.service != key.service && need > 0 {
			return 0
		}
	}
	if own == 0 || own > perDelivery || p.disabled.Has(mechanism.NoRetryRequests) {
		return 0
	}
	return 1 / (1 + perDelivery)
}
