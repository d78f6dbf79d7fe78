package choice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

//go:generate stringer -type=Result -linecomment

// Result is how sending a request to an instance ended.
type Result uint8

const (
	// Served means that the instance responded without a failure of its own.
	Served Result = iota // served
	// Failed means that the instance ran the request and responded with a failure.
	Failed // failed
	// Declined means that the instance itself declined to run the request.
	Declined // turnedAway
	// Refused means that the instance's host had no free slot or queue place for the request.
	Refused // refused
	// Unreachable means that the instance or its host could not be reached.
	Unreachable // unreachable
	// Lost means that the request was sent and no complete response was received.
	Lost // lost
	// Withdrawn means that the request ended for a reason unrelated to the instance.
	Withdrawn // withdrawn
)

// Balancer is the client-side load balancer of one daemon, for the instances of all services.
type Balancer struct {
	mu   sync.Mutex
	zone string
	rand func() float64
	// records has the records by instance ID. A map by incarnation takes several times as long to look up.
	records map[string]*record
	// services has what is known of each service, by name.
	services map[string]*service
	// disabled are the disabled mechanisms.
	disabled mechanism.Set
	// ready, cold and backedOff are reused by each pick, so that it allocates nothing.
	ready, cold, backedOff []candidate
}

// Option sets one property of a balancer.
type Option func(*Balancer)

// WithRand sets the random source, which returns numbers in [0, 1).
func WithRand(f func() float64) Option { return func(b *Balancer) { b.rand = f } }

// Without disables mechanisms.
func Without(s mechanism.Set) Option { return func(b *Balancer) { b.disabled = s } }

// New returns a balancer for a daemon in the availability zone.
func New(zone string, opts ...Option) *Balancer {
	b := &Balancer{zone: zone, rand: rand.Float64, records: map[string]*record{}, services: map[string]*service{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

const (
	// sampleSize is how many instances are compared for one request. With two, a slow one is still picked when both are slow; with
	// all, every daemon would send to the same one until it receives newer loads.
	sampleSize = 3
	// An instance in the daemon's own availability zone is preferred up to localPreference times the score of the best one elsewhere: on
	// the way to another availability zone more can fail, and the response takes longer. The factor is spareLocalPreference while the
	// local instance has free slots and the request is expected to finish within spareTimeFraction of its remaining time.
	localPreference      = 1.3
	spareLocalPreference = 2.5
	spareTimeFraction    = 0.6
	// latencyWeight is the weight of one request in the smoothed latency.
	latencyWeight = 0.1
	// The latency of an instance that is slowFactor times slower than the others is stale once it has not been picked for staleAfter and for
	// staleRounds picks of each instance of its service. Otherwise it would never be tried again while others are free.
	slowFactor  = 5.0
	staleAfter  = time.Second
	staleRounds = 20
	// faultWeight is the weight of one request in the fault rate: an instance that begins to fail half of its requests counts as faulty
	// after four or five of them.
	faultWeight = 0.15
	// faultHalfLife is the half-life of a fault rate without new requests, so that a recovered instance is tried again.
	faultHalfLife = 2 * time.Second
	// faultPenalty scales the expected time by the fault rate in excess of the mean, since failures of all instances alike don't
	// distinguish them; faultSlack is the excess that may be random.
	faultPenalty = 20.0
	faultSlack   = 0.1
	// busyThreshold is the fraction of slots in use from which on an instance counts as slower: requests take different times, so
	// queueing begins before all slots are in use.
	busyThreshold = 0.7
	// busyPenalty multiplies the excess over busyThreshold: the expected time is 1 + busyPenalty * excess times as long, 2.2 times with
	// all slots in use.
	busyPenalty = 4.0
	// loadTTL is how long a reported load counts in full; an older one counts half. Several requests per second usually refresh it.
	loadTTL = time.Second
	// coldPenalty is the factor on the expected time of an instance that has just started, where it isn't known how much it tolerates.
	coldPenalty = 2.0
	// initialBackoff is how long an unreachable instance is avoided; it doubles with each further failure up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// defaultLatency, in seconds, is assumed while no instance of the service has a known latency.
	defaultLatency = 0.05
)

// candidate is an instance that may be picked, with its record.
type candidate struct {
	instance *routing.Instance
	record   *record
}

// Pick returns the instance for a request on the route with the remaining time before its deadline, or false if there is none. It never
// returns one of the excluded instances, by ID: these have already been sent the request.
func (b *Balancer) Pick(instances []routing.Instance, excluded map[string]bool, route string, remaining time.Duration, now time.Time) (routing.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(instances) == 0 {
		return routing.Instance{}, false
	}
	of := b.serviceOf(&instances[0])
	usable := b.usable(of, instances, excluded, now)
	if len(usable) == 0 {
		return routing.Instance{}, false
	}
	reference := b.averages(of, usable, of.population(len(usable), len(instances)), now)
	reference.usual = b.usualTime(of, route, reference.latency, now)
	localCount := b.partitionByZone(usable)
	if b.disabled.Has(mechanism.Zones) {
		localCount = 0
	}
	local, remote := b.pickBest(usable[:localCount], &reference, now), b.pickBest(usable[localCount:], &reference, now)
	chosen := local
	if local.instance == nil || remote.instance != nil && !local.preferredTo(remote, remaining) {
		chosen = remote
	}
	of.recordPick(chosen.record, &reference, now)
	return *chosen.instance, true
}

// recordPick counts a request to the chosen instance.
func (s *service) recordPick(r *record, reference *averages, now time.Time) {
	r.outstanding++
	r.renew = r.renew || reference.stale(r, now)
	s.picks++
	r.pickedAt, r.pickNumber = now, s.picks
}

// scored is an instance with the expected time of the request in seconds, including penalties.
type scored struct {
	candidate
	score float64
	// busy is the fraction of its slots in use, counting this request and queued ones; it may exceed 1.
	busy float64
}

// preferredTo reports whether the best instance of the daemon's availability zone is preferred to the best one of another.
func (local scored) preferredTo(remote scored, remaining time.Duration) bool {
	if local.score <= localPreference*remote.score {
		return true
	}
	return local.busy <= busyThreshold && local.score <= spareLocalPreference*remote.score && local.score <= spareTimeFraction*remaining.Seconds()
}

// partitionByZone moves the instances of the daemon's availability zone to the front and returns their number.
func (b *Balancer) partitionByZone(candidates []candidate) int {
	localCount := 0
	for i := range candidates {
		if candidates[i].instance.Zone == b.zone {
			candidates[localCount], candidates[i] = candidates[i], candidates[localCount]
			localCount++
		}
	}
	return localCount
}

// pickBest returns the best of a random sample of the instances.
func (b *Balancer) pickBest(candidates []candidate, reference *averages, now time.Time) scored {
	var best scored
	for i := range min(sampleSize, len(candidates)) {
		j := min(i+int(b.rand()*float64(len(candidates)-i)), len(candidates)-1)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		if next := b.score(candidates[i], reference, now); best.instance == nil || next.score < best.score {
			best = next
		}
	}
	return best
}

// usable returns the instances that may be sent the request, in a list that holds until the next call: those that accept new work and aren't in
// backoff. A cold instance is among them for as many requests as it tolerates. If there are none, it returns the cold ones or else those in
// backoff, since a daemon may be wrong about them.
func (b *Balancer) usable(of *service, instances []routing.Instance, excluded map[string]bool, now time.Time) []candidate {
	b.ready, b.cold, b.backedOff = b.ready[:0], b.cold[:0], b.backedOff[:0]
	for i := range instances {
		inst := &instances[i]
		if inst.Draining || excluded[inst.ID] {
			continue
		}
		next := candidate{inst, b.recordAt(of, i, inst)}
		switch {
		case now.Before(next.record.backoffUntil):
			b.backedOff = append(b.backedOff, next)
		case inst.ColdRate > 0 && now.Before(inst.ColdUntil) && b.rand() >= coldFraction(next):
			b.cold = append(b.cold, next)
		default:
			b.ready = append(b.ready, next)
		}
	}
	switch {
	case len(b.ready) > 0:
		return b.ready
	case len(b.cold) > 0:
		return b.cold
	default:
		return b.backedOff
	}
}

// coldFraction returns the requests per second that the cold instance may be sent as a fraction of what it can do when it is warm.
//
// Each daemon sends a cold instance that small part of its requests by itself. If all of them went by the instance's free slots, they would
// send it hundreds of requests before the first one heard that it takes fourteen.
func coldFraction(c candidate) float64 {
	latency := c.record.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return c.instance.ColdRate * latency / float64(max(c.instance.Slots, 1))
}

// averages are the means over the instances of a service.
type averages struct {
	// latency is the mean of the known latencies, in seconds.
	latency float64
	// faultRate is the mean fault rate.
	faultRate float64
	// picks counts the picks for the service, and stalePicks is the number of later picks from which on a latency may be stale.
	picks, stalePicks uint64
	// sum and known are of all known latencies, in seconds.
	sum   float64
	known int
	// usual is the usual time of the request's route, in seconds; 0 means that the instances of the service don't state their slowness.
	usual float64
}

// seconds returns the expected time of the request on the instance without penalties.
func (a *averages) seconds(r *record, now time.Time) float64 {
	if a.usual > 0 {
		return a.usual * r.pace.expected(now)
	}
	if latency := a.latencyOf(r, now); latency > 0 {
		return latency
	}
	return a.latency
}

// latencyOf returns the smoothed latency in seconds, 0 if none is known that isn't stale.
func (a *averages) latencyOf(r *record, now time.Time) float64 {
	if a.stale(r, now) {
		return 0
	}
	return r.latency
}

// stale reports whether the latency is that of a slow instance which hasn't been picked for long.
func (a *averages) stale(r *record, now time.Time) bool {
	if r.latency == 0 || a.known <= 1 || r.latency*float64(a.known-1) < slowFactor*(a.sum-r.latency) {
		return false
	}
	return a.picks-r.pickNumber >= a.stalePicks && now.Sub(r.pickedAt) >= staleAfter
}

// averages returns the means over the candidates; population is the number of usable instances of which they may be a sample.
func (b *Balancer) averages(of *service, candidates []candidate, population int, now time.Time) averages {
	avg := averages{latency: defaultLatency, picks: of.picks, stalePicks: staleRounds * uint64(population)}
	for i := range candidates {
		r := candidates[i].record
		avg.faultRate += r.currentFaultRate(now) / float64(len(candidates))
		if r.latency > 0 {
			avg.sum, avg.known = avg.sum+r.latency, avg.known+1
		}
	}
	sum, known := 0.0, 0
	for i := range candidates {
		if latency := avg.latencyOf(candidates[i].record, now); latency > 0 {
			sum, known = sum+latency, known+1
		}
	}
	if known > 0 {
		avg.latency = sum / float64(known)
	}
	return avg
}

// score returns the expected time of the request on the instance, increased by penalties for a cold start, load and faults.
func (b *Balancer) score(c candidate, reference *averages, now time.Time) scored {
	i, r := c.instance, c.record
	seconds := reference.seconds(r, now)
	if i.ColdRate == 0 && now.Before(i.ColdUntil) {
		seconds *= coldPenalty
	}
	busy := c.busy(now)
	if busy > busyThreshold {
		seconds *= 1 + busyPenalty*(busy-busyThreshold)
	}
	if !b.disabled.Has(mechanism.FaultAvoidance) {
		seconds *= 1 + faultPenalty*max(r.currentFaultRate(now)-reference.faultRate-faultSlack, 0)
	}
	return scored{c, seconds, busy}
}

// busy returns the fraction of the instance's slots in use, with one more request.
func (c candidate) busy(now time.Time) float64 {
	r, limit := c.record, c.instance.Slots
	// An old limit may be that of an instance that was cold then. Its current one would never be reported, since the instance looks full.
	if r.load.Limit > 0 && (limit == 0 || now.Sub(r.loadUpdated) < loadTTL) {
		limit = r.load.Limit
	}
	return float64(r.outstanding+1+r.currentOtherRequests(now)) / float64(max(limit, 1))
}

// Attempt is how a request to an instance ended.
type Attempt struct {
	Route  string
	Result Result
	// Took is the time from sending the request to its result, Waited the part of it that the request waited for a slot.
	Took, Waited time.Duration
	// Load is what the instance's host reported.
	Load call.Load
}

// Record records how a request to the instance returned by Pick ended.
func (b *Balancer) Record(i routing.Instance, a Attempt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.recordOf(&i)
	r.outstanding = max(r.outstanding-1, 0)
	if a.Load.Limit > 0 {
		r.load, r.loadUpdated = a.Load, now
		r.otherRequests = max(a.Load.InFlight+a.Load.Queued-r.outstanding, 0)
	}
	b.recordPace(&i, r, a, now)
	switch a.Result {
	case Served:
		r.recordFault(0, now)
		r.recordLatency(a.Took.Seconds())
		r.unreachable, r.backoffUntil = 0, time.Time{}
	case Failed, Declined, Lost:
		r.recordFault(1, now)
	case Unreachable:
		r.backoffUntil = now.Add(min(initialBackoff<<min(r.unreachable, 5), maxBackoff))
		r.unreachable++
	case Refused, Withdrawn:
	}
}
