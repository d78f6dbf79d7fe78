package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
)

// Quota decides on one daemon which requests are within the rate limit of their organisation.
//
// It handles an organisation that sends several times its rate over many daemons, while others stay within theirs. No daemon sees all
// requests, and none may wait for a reply before each request. Each daemon reports to a collector a few times per second how
// many requests it received and admitted, and admits the fraction that the collector's bucket allows. Without a current allocation, a
// daemon uses its last share of the organisation's demand.
type Quota struct {
	mu          sync.Mutex
	rand        func() float64
	rates       map[string]RateLimit
	daemons     int
	meters      map[string]*meter
	allocations map[string]Allocation
	applied     time.Time
	// renewedAt is when the lease of this daemon's share was last renewed.
	renewedAt time.Time
	// byBacklog means that Retry-After delays follow from the organisation's backlog over the fleet.
	byBacklog bool
}

// meter is a daemon's state of one organisation.
type meter struct {
	count Count
	// reported is the number of requests as of the last report, and baseline the smoothed number per report interval.
	reported int64
	baseline float64
	// demand is the smoothed rate of requests at this daemon, per second.
	demand  float64
	updated time.Time
	// admitted is the number of requests admitted since the last allocations were applied.
	admitted int64
	// credit is the sum of the admitted fractions; each whole unit admits a request.
	credit float64
	// demandShare is this daemon's share of the fleet's demand, and tokens the requests it may admit by that share in fallback mode.
	demandShare float64
	tokens      float64
	// spendThreshold is the number of tokens, 0 to 1, from which on a request is admitted in fallback mode; tokens may become negative.
	spendThreshold float64
	refilled       time.Time
}

const (
	// localDemandTimeConstant smooths a daemon's own demand, which may be less than a request per second.
	localDemandTimeConstant = time.Second
	// allocationTTL is how long allocations are valid: more than two heartbeat intervals of a busy daemon. One without valid ones is in fallback
	// mode. Its collector reserves its share of the rates from the same time on.
	allocationTTL = 1300 * time.Millisecond
	// renewalOverdraft is the number of requests beyond the daemon's share of the rate and of the saved burst after which it sends an early heartbeat.
	renewalOverdraft = 3
	// maxOverdraft is the number of requests beyond the share from which on the share decides, if the allocation is older than renewalTime. Without
	// this limit, an allocation from before a surge admits all of its requests for allocationTTL.
	maxOverdraft = 6
	// renewalTime is the time within which a collector normally replies to the early heartbeat.
	renewalTime = 150 * time.Millisecond
	// savedBurstTime bounds the part of an organisation's burst that is divided by shares, in time at the rate. Without this part, a daemon that
	// loses the collector would refuse requests of organisations within their rates that arrive unevenly.
	savedBurstTime = time.Second
	// maxShareDebt bounds the requests that a daemon admitted by its last allocation beyond its share, as the time in which the share pays
	// them back in fallback mode.
	maxShareDebt = 5 * time.Second
	// idleTTL is how long an organisation is reported after its last request.
	idleTTL = 3 * time.Second
	// demandShareWeight is the fraction of a rate that is divided by shares of the demand in fallback mode. The rest is divided equally, for
	// clients that move here from an unreachable daemon.
	demandShareWeight = 0.9
	// Requests since the last report are a surge if there are at least surgeRequests plus surgeFactor times the baseline.
	surgeRequests = 4
	surgeFactor   = 3
	// baselineWeight is the weight of the latest report interval in the baseline.
	baselineWeight = 0.3
	// shareWeight is the weight of the latest report in a daemon's share of the demand: it smooths shares over about two seconds, since a
	// daemon may receive less than one request between two reports.
	shareWeight = 0.25
	// minShare is the least share that counts, the unit in which shares are reported.
	minShare = 1.0 / shareUnits
	// maxRetryAfter bounds the Retry-After delay of refused requests.
	maxRetryAfter = 10 * time.Second
	// maxWaitFraction is the part of a caller's remaining time that it is told to wait at most: it needs the rest for the request itself, or
	// for another return.
	maxWaitFraction = 1.0 / 3
	// retrySpread is the part of a Retry-After delay that is random, so that callers refused together don't return together.
	retrySpread = 0.25
)

// Option sets one property of a quota.
type Option func(*Quota)

// WithRand sets the random source, which returns numbers in [0, 1).
func WithRand(f func() float64) Option { return func(q *Quota) { q.rand = f } }

// Without disables the mechanisms in the set that a quota uses.
func Without(disabled mechanism.Set) Option {
	return func(q *Quota) { q.byBacklog = !disabled.Has(mechanism.BacklogRetryAfter) }
}

// New returns a quota without rate limits, which admits all requests.
func New(opts ...Option) *Quota {
	q := &Quota{rand: rand.Float64, daemons: 1, rates: map[string]RateLimit{}, meters: map[string]*meter{}, byBacklog: true}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Configure sets the rate limits.
func (q *Quota) Configure(rates map[string]RateLimit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rates = rates
	for name := range q.meters {
		if rates[name].PerSecond <= 0 {
			delete(q.meters, name)
		}
	}
}

// SetDaemons sets the number of daemons in the fleet.
func (q *Quota) SetDaemons(daemons int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.daemons = max(daemons, 1)
}

// Apply applies the collector's allocations.
func (q *Quota) Apply(allocations map[string]Allocation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.allocations, q.applied = allocations, now
	for name, m := range q.meters {
		share := 0.0
		if a, named := allocations[name]; named {
			local := m.localDemand(now)
			share = (1 - a.Reserved) * local / max(a.Demand, local, minDemand)
		}
		m.demandShare = smoothShare(m.demandShare, share)
		m.admitted = 0
		q.boundTokens(m, q.rates[name], now)
	}
}

// Report returns the counts of recently active organisations for the next heartbeat.
func (q *Quota) Report(now time.Time) map[string]Count {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := make(map[string]Count, len(q.meters))
	for name, m := range q.meters {
		if now.Sub(m.updated) < idleTTL {
			counts[name] = Count{
				Requested: m.count.Requested, Admitted: m.count.Admitted, Share: uint16(m.demandShare * shareUnits),
				Overdraft: uint16(min(max(q.overdraft(m, q.rates[name], now)-renewalOverdraft, 0), math.MaxUint16)),
			}
		}
		m.baseline += (float64(m.count.Requested-m.reported) - m.baseline) * baselineWeight
		m.reported = m.count.Requested
	}
	return counts
}

// Decision is a rate-limit decision with its inputs.
type Decision struct {
	Admitted bool
	// Counted means that the request was counted as admitted, so that Refund undoes the count.
	Counted bool
	// Surge means far more requests since the last report than usual: a heartbeat should be sent early.
	Surge bool
	// RetryAfter is when the rate is expected to allow another request.
	RetryAfter time.Duration
	// AdmitFraction is the fraction that is admitted, and Demand the fleet's demand in requests per second. In fallback mode, they are this
	// daemon's share of the rate and its own demand.
	AdmitFraction float64
	Demand        float64
	Rate          float64
	// Age is the age of the allocation, negative without a current one.
	Age time.Duration
	// Backlog is the expected wait of a refused caller behind those refused before, over the fleet; 0 if it isn't known.
	Backlog time.Duration
	// applied is when the allocations in force were applied.
	applied time.Time
}

// Admit counts a request of the organisation and decides whether it is admitted.
func (q *Quota) Admit(name string, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.rates[name]
	if r.PerSecond <= 0 {
		return Decision{Admitted: true, AdmitFraction: 1, Age: -1}
	}
	m := q.meter(name, now)
	overdraft := q.overdraft(m, r, now) - r.savedBurst()/float64(q.daemons)
	d := Decision{Rate: r.PerSecond, Age: q.allocationAge(now), Surge: m.surging() || overdraft >= renewalOverdraft, applied: q.applied}
	m.countRequest(now)
	switch {
	case q.leaseEnded(now):
		d.RetryAfter = leaseRetryAfter
	case d.Age < 0 || d.Age > renewalTime && overdraft >= maxOverdraft:
		q.admitByShare(m, r, now, &d)
	default:
		q.admitByAllocation(m, name, r, now, &d)
	}
	if d.Admitted {
		m.tokens--
		m.admitted++
		m.count.Admitted++
		d.Counted = true
	}
	return d
}

// AdmitByDeadline decides as Admit does. If it refuses the request, its caller is told to return when the rate is expected to have served those
// refused before, as far as its deadline allows.
func (q *Quota) AdmitByDeadline(name string, deadline, now time.Time) Decision {
	d := q.Admit(name, now)
	if d.Admitted || !q.byBacklog {
		return d
	}
	wait := d.Backlog
	if wait == 0 {
		wait = d.RetryAfter
	}
	longest := max(time.Duration(float64(deadline.Sub(now))*maxWaitFraction), 0)
	q.mu.Lock()
	defer q.mu.Unlock()
	d.RetryAfter = time.Duration(float64(min(wait, longest, maxRetryAfter)) * (1 - retrySpread*q.rand()))
	return d
}

// Refund undoes the count of an admitted request that did not run.
func (q *Quota) Refund(name string, d Decision) {
	if !d.Counted {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if m := q.meters[name]; m != nil {
		m.count.Admitted--
		if d.applied.Equal(q.applied) {
			m.admitted--
		}
	}
}

// admitByAllocation decides by the collector's allocation; an organisation without one is within its rate.
func (q *Quota) admitByAllocation(m *meter, name string, r RateLimit, now time.Time, d *Decision) {
	a, named := q.allocations[name]
	if !named {
		a.AdmitFraction = 1
	}
	d.AdmitFraction, d.Demand = a.AdmitFraction, a.Demand
	if a.AdmitFraction >= 1 {
		d.Admitted = true
		return
	}
	m.credit += a.AdmitFraction
	if m.credit >= 1 {
		m.credit--
		d.Admitted = true
		return
	}
	d.RetryAfter = refillTime(1-m.credit, a.AdmitFraction*m.localDemand(now))
	d.Backlog = a.backlogAt(r, d.Age)
}

// overdraft is the number of requests that the daemon has admitted beyond its share since it last applied allocations, negative if it has admitted less.
func (q *Quota) overdraft(m *meter, r RateLimit, now time.Time) float64 {
	if q.applied.IsZero() {
		return 0
	}
	return float64(m.admitted) - r.PerSecond*q.share(m)*now.Sub(q.applied).Seconds()
}

// backlogAt returns the backlog after a time in which the demand has added to it and the rate has served from it.
func (a Allocation) backlogAt(r RateLimit, age time.Duration) time.Duration {
	growth := (1-a.AdmitFraction)*a.Demand/(r.PerSecond*max(1-a.Reserved, minServing)) - 1
	return max(a.Backlog+time.Duration(growth*float64(age)), 0)
}

// minServing is the least part of the rate that is assumed to serve the backlog; it avoids a division by zero.
const minServing = 0.01

// admitByShare decides in fallback mode. The threshold for spending a token differs between daemons: most daemons of a large fleet never
// have a whole token, and together they should admit the rate, rather than nothing or one request each.
func (q *Quota) admitByShare(m *meter, r RateLimit, now time.Time, d *Decision) {
	share := q.share(m)
	m.refill(r, share, now)
	d.AdmitFraction, d.Demand = share, m.localDemand(now)
	if m.tokens >= m.spendThreshold {
		d.Admitted = true
		return
	}
	d.RetryAfter = refillTime(m.spendThreshold-m.tokens, r.PerSecond*share)
}

// smoothShare returns a smoothed share of the fleet's demand after another observation; a share below minShare counts as none. It starts at 0, since
// a daemon's first request of an organisation is no measure of its share.
func smoothShare(smoothed, observed float64) float64 {
	smoothed += (observed - smoothed) * shareWeight
	if smoothed < minShare {
		return 0
	}
	return smoothed
}

// savedBurst returns the part of the burst that daemons may use by their shares.
func (r RateLimit) savedBurst() float64 { return min(r.Burst, r.PerSecond*savedBurstTime.Seconds()) }

// boundTokens bounds the tokens of the daemon's share while an allocation is valid: at most its share of the saved burst, and no debt, since the
// collector accounts for what was admitted beyond the share.
func (q *Quota) boundTokens(m *meter, r RateLimit, now time.Time) {
	share := q.share(m)
	m.refill(r, share, now)
	m.tokens = min(max(m.tokens, 0), r.savedBurst()*share)
}

// share returns this daemon's share of an organisation's rate in fallback mode.
func (q *Quota) share(m *meter) float64 {
	share := 1 / float64(q.daemons)
	if !q.applied.IsZero() {
		share = demandShareWeight*m.demandShare + (1-demandShareWeight)*share
	}
	return share
}

// refill adds the tokens of the daemon's share of the rate. They are counted by allocation too, so that what was admitted beyond the share
// before the allocation expired is paid back.
func (m *meter) refill(r RateLimit, share float64, now time.Time) {
	perSecond := r.PerSecond * share
	m.tokens = max(m.tokens, -maxShareDebt.Seconds()*perSecond)
	m.tokens = min(m.tokens+now.Sub(m.refilled).Seconds()*perSecond, max(r.Burst*share, m.tokens, 1))
	m.refilled = now
}

// refillTime is how long it takes to refill the tokens at a rate per second, at most maxRetryAfter.
func refillTime(tokens, perSecond float64) time.Duration {
	seconds := tokens / max(perSecond, minDemand)
	return time.Duration(min(max(seconds, 0), maxRetryAfter.Seconds()) * float64(time.Second))
}

// allocationAge is the age of the allocations, or negative without valid ones. Those that were applied after a request had arrived are valid for it.
func (q *Quota) allocationAge(now time.Time) time.Duration {
	if q.applied.IsZero() || now.Sub(q.applied) > allocationTTL {
		return -1
	}
	return max(now.Sub(q.applied), 0)
}

func (q *Quota) meter(name string, now time.Time) *meter {
	m := q.meters[name]
	if m == nil {
		// Random starting points make the first requests on many daemons add up to the admitted fraction.
		m = &meter{updated: now, credit: q.rand(), spendThreshold: q.rand(), refilled: now}
		if q.applied.IsZero() {
			// A daemon without allocations has just started, and receives its first ones within a heartbeat interval.
			m.tokens = initialTokens
		}
		q.meters[name] = m
	}
	return m
}

// initialTokens is the number of requests of each organisation that a daemon admits at once before its first allocations.
const initialTokens = 1

// localDemand returns the daemon's own demand, decayed since the last request.
func (m *meter) localDemand(now time.Time) float64 {
	return m.demand * math.Exp(-now.Sub(m.updated).Seconds()/localDemandTimeConstant.Seconds())
}

func (m *meter) countRequest(now time.Time) {
	m.count.Requested++
	m.demand = m.localDemand(now) + 1/localDemandTimeConstant.Seconds()
	m.updated = now
}

// surging reports whether far more requests than usual have arrived since the last report.
func (m *meter) surging() bool {
	return float64(m.count.Requested-m.reported) >= surgeRequests+surgeFactor*m.baseline
}
