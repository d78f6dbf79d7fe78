package shed

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
)

// Shedder decides on one daemon which requests of callers are admitted.
//
// It protects an overloaded service deep in the call graph, below requests that each call it ten times. If that service refused
// the excess itself, a tenth too much load would fail two of three requests after most of their work, and client retries would follow:
// the fleet would complete almost nothing, even after the burst. The admitted fraction of each class is therefore computed in one place
// from the demand at all daemons, and each daemon applies it. Without a current plan, a daemon uses the saturation that responses report.
type Shedder struct {
	mu       sync.Mutex
	rand     func() float64
	classes  map[Class]*classState
	applied  time.Time
	reported time.Time
	// ignoreTarget makes Retry-After independent of the route's latency target.
	ignoreTarget bool
}

// classState is a daemon's admission state of one class.
type classState struct {
	// admitFraction is the fraction that is admitted now.
	admitFraction float64
	// noRetryFraction is the part of admitFraction whose requests get no retries.
	noRetryFraction float64
	// saturation is the smoothed saturation reported by responses.
	saturation float64
	updated    time.Time
	// arrivals counts requests since the last report, and rate is their smoothed number per second.
	arrivals int
	rate     float64
}

const (
	// gainExponent is the exponent, per second, of target/saturation in the feedback from responses. Responses are late in overload:
	// correcting the whole difference at once would correct it twice and oscillate.
	gainExponent = 1.1
	// minSaturation and maxSaturation clamp the saturation: an idle service must not be flooded, and the queue of a saturated
	// one grows without bound.
	minSaturation = 0.45
	maxSaturation = 3.0
	// saturationWeight is the weight of one response, and maxElapsed bounds the time for which one response moves the fraction.
	saturationWeight = 0.2
	maxElapsed       = 500 * time.Millisecond
	// planTTL is how long a plan takes precedence over feedback from responses: several heartbeat intervals. After that, the daemon is in
	// fallback mode.
	planTTL = 1500 * time.Millisecond
	// refusedSaturation is the minimum saturation assumed after a refused sub-call.
	refusedSaturation = 2.0
	// minAdmitFraction is always admitted: it detects free capacity, and no class starves.
	minAdmitFraction = 0.01
	// raisePerSecond is how fast the admitted fraction grows, per second without a response.
	raisePerSecond = 0.3
	// Retry-After is retryAfterFraction of a route's latency target, plus a random fraction of up to retryAfterSpread: a response is still
	// useful then, and half of the target remains for the request itself.
	retryAfterFraction = 0.15
	retryAfterSpread   = 0.35
	// minRetryAfter and maxRetryAfter clamp it, and defaultTarget replaces an unknown target.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	defaultTarget = 2 * time.Second
	// arrivalRateWeight is the weight of the latest report interval in the reported rate: the rate smooths out the randomness of several
	// hundred milliseconds and still shows a surge at once.
	arrivalRateWeight = 0.6
	// negligibleRate is a rate in requests per second that isn't worth reporting.
	negligibleRate = 0.05
)

// topRankSaturation is the target for the most saturated service on the call path of rank 0 in fallback mode; each rank of lower priority
// lowers it by a step. At 1 all slots are in use, and above it requests queue: 0.3 adds 15 ms per call. The steps are wide enough for
// the lower ranks to be shed first.
const (
	topRankSaturation    = 1.3
	organisationRankStep = 0.12
	routeRankStep        = 0.04
	// maxRank is the rank that all lower-priority ranks count as.
	maxRank = 2
)

func (r Rank) targetSaturation() float64 {
	return topRankSaturation - organisationRankStep*float64(min(r.Organisation, maxRank)) - routeRankStep*float64(min(r.Route, maxRank))
}

// Option sets one property of a shedder.
type Option func(*Shedder)

// WithRand sets the random source, which returns numbers in [0, 1).
func WithRand(f func() float64) Option { return func(s *Shedder) { s.rand = f } }

// Without disables mechanisms.
func Without(set mechanism.Set) Option {
	return func(s *Shedder) { s.ignoreTarget = set.Has(mechanism.TargetedRetryAfter) }
}

// New returns a shedder that admits all requests.
func New(opts ...Option) *Shedder {
	s := &Shedder{rand: rand.Float64, classes: map[Class]*classState{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Decision is an admission decision with its inputs.
type Decision struct {
	Admitted bool
	// NoRetry means that the request gets no retries, since others need them.
	NoRetry bool
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// RejectFraction is the fraction of the class that is rejected.
	RejectFraction float64
	// Age is the age of the plan; beyond planTTL, the decision is based on responses.
	Age time.Duration
	// Surplus means that the request counts as surplus of its organisation.
	Surplus bool
}

// Admit counts a request of the class and decides whether it is admitted; target is the latency target of its route, 0 if unknown.
func (s *Shedder) Admit(class Class, target time.Duration, now time.Time) Decision {
	return s.AdmitUsual(class, 1, target, now)
}

// AdmitUsual is Admit for a request of an organisation of whose requests only the given fraction counts as usual. The others are in the
// class's surplus, which has a fraction of its own. It is not above that of the class: a plan that limits a class has no capacity left for
// its surplus.
func (s *Shedder) AdmitUsual(class Class, usualFraction float64, target time.Duration, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.state(class, now)
	admitFraction := c.admitFraction
	surplus := usualFraction < 1 && !s.planExpired(now) && s.rand() >= usualFraction
	if surplus {
		limited := admitFraction < 1
		class.Surplus = true
		c = s.state(class, now)
		admitFraction = c.admitFraction
		if limited {
			admitFraction = minAdmitFraction
		}
	}
	c.arrivals++
	if s.planExpired(now) {
		c.noRetryFraction = 0
		c.raiseUnanswered(now)
		admitFraction = c.admitFraction
	}
	rejectFraction := 1 - admitFraction
	decision := Decision{Admitted: s.rand() >= rejectFraction, RejectFraction: rejectFraction, Age: now.Sub(s.applied), Surplus: surplus}
	if !decision.Admitted {
		decision.RetryAfter = s.retryAfter(target)
		return decision
	}
	decision.NoRetry = c.noRetryFraction > 0 && s.rand()*c.admitFraction < c.noRetryFraction
	return decision
}

// retryAfter returns the Retry-After delay, spread so that requests rejected together aren't retried together.
func (s *Shedder) retryAfter(target time.Duration) time.Duration {
	if target <= 0 || s.ignoreTarget {
		target = defaultTarget
	}
	fraction := retryAfterFraction + retryAfterSpread*s.rand()
	return min(max(time.Duration(float64(target)*fraction), minRetryAfter), maxRetryAfter)
}

// Demand returns the arrival rate of each class for the next heartbeat, and must be called once per heartbeat.
func (s *Shedder) Demand(now time.Time) []ArrivalRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.reported).Seconds()
	s.reported = now
	rates := make([]ArrivalRate, 0, len(s.classes))
	for class, c := range s.classes {
		latest := float64(c.arrivals) / max(elapsed, maxElapsed.Seconds()/10)
		c.rate += (latest - c.rate) * arrivalRateWeight
		c.arrivals = 0
		if c.rate > negligibleRate {
			rates = append(rates, ArrivalRate{Class: class, PerSecond: c.rate})
		}
	}
	return rates
}

// Apply applies the collector's allocations; classes without one are admitted in full.
func (s *Shedder) Apply(allocations []Allocation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = now
	for _, c := range s.classes {
		c.admitFraction, c.noRetryFraction, c.updated = 1, 0, now
	}
	for _, a := range allocations {
		c := s.state(a.Class, now)
		c.setAdmitFraction(a.AdmitFraction)
		c.noRetryFraction = a.NoRetryFraction
	}
}

// Observe records the response to a request of the class: the saturation of the most saturated service on its call path, and whether
// one of its sub-calls was refused. It changes the admitted fraction only in fallback mode.
func (s *Shedder) Observe(class Class, saturation float64, refused bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		saturation = max(saturation, refusedSaturation)
	}
	c := s.state(class, now)
	if s.planExpired(now) {
		c.saturation += (saturation - c.saturation) * saturationWeight
		c.adjust(class.Rank.targetSaturation(), now)
	}
}

// planExpired reports whether there is no current plan.
func (s *Shedder) planExpired(now time.Time) bool { return now.Sub(s.applied) > planTTL }

func (s *Shedder) state(class Class, now time.Time) *classState {
	c := s.classes[class]
	if c == nil {
		if len(s.classes) > maxClasses {
			clear(s.classes)
		}
		c = &classState{admitFraction: 1, updated: now}
		s.classes[class] = c
	}
	return c
}

// maxClasses bounds the memory used over many configuration changes.
const maxClasses = 4096

// adjust moves the admitted fraction by the ratio of target to observed saturation.
func (c *classState) adjust(target float64, now time.Time) {
	elapsed := min(now.Sub(c.updated), maxElapsed)
	c.updated = now
	ratio := target / min(max(c.saturation, minSaturation), maxSaturation)
	c.setAdmitFraction(c.admitFraction * math.Pow(ratio, gainExponent*elapsed.Seconds()))
}

// raiseUnanswered raises the admitted fraction while no response arrives, since all admitted requests may have been lost.
func (c *classState) raiseUnanswered(now time.Time) {
	if elapsed := now.Sub(c.updated); elapsed > maxElapsed {
		c.setAdmitFraction(c.admitFraction + raisePerSecond*(elapsed-maxElapsed).Seconds())
		c.saturation *= 1 - min(elapsed.Seconds(), 1)
		c.updated = now.Add(-maxElapsed)
	}
}

func (c *classState) setAdmitFraction(fraction float64) {
	c.admitFraction = min(max(fraction, minAdmitFraction), 1)
}
