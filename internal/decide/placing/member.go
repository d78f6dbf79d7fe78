package placing

import (
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// member is one host of a service with the state that this daemon keeps of it.
type member struct {
	host lists.Host
	// addedAt is when the host was added after the service's first list; zero means that it needs no ramp-up.
	addedAt  time.Time
	inFlight int

	// relativeLatency is the host's smoothed latency relative to the service's mean for the same operation.
	relativeLatency float64
	// failureRate is the recent fraction of failed placements.
	failureRate float64
	// declineRate is the recent fraction of placements that the host declined for overload.
	declineRate float64
	// settledAt is the time of the last result, from which the rates decay.
	settledAt time.Time

	// load is the load that the host reported at reportedAt.
	load       call.Load
	reportedAt time.Time
}

const (
	// relativeLatencyWeight is the weight of one served request in relativeLatency; the next four are the weights of one result in the
	// failure and decline rates.
	relativeLatencyWeight = 0.2
	noResponseWeight      = 0.5
	upstreamFailedWeight  = 0.1
	declinedWeight        = 0.3
	servedWeight          = 0.3
	// The bounds keep one estimate or report from dominating a host's score.
	minRelativeLatency = 1.0 / 8
	maxRelativeLatency = 8
	minHealth          = 1.0 / 32
	minCapacity        = 1.0 / 2
	maxCapacity        = 2
	minRamp            = 0.1
	// healthHalfLife is the half-life of the latency and failure rate of a host that gets no requests: a host that was slow or unreachable
	// is tried again, little by little.
	healthHalfLife = 5 * time.Second
	// loadHalfLife is the half-life of a reported load and of the decline rate, which are soon out of date.
	loadHalfLife = 500 * time.Millisecond
	// rampTime is how long a newly added host gets less than its share of requests: its caches and connections are cold, and a full share
	// would stall it.
	rampTime = 10 * time.Second
	// maxReportedLoad bounds a reported load, in multiples of the service's mean concurrency limit.
	maxReportedLoad = 2
)

// score estimates how long a request takes on the host, as a multiple of the service's mean; lower is better.
//
// What this daemon has observed itself counts in full: requests in flight, latency, failures. What a host reports is only a bounded
// hint, since health and load reports lag or mislead: a host that reports no load gets no more requests than its responses justify,
// and one that reports saturation still gets some requests. Failures raise the score by a bounded factor, so that a signal that is
// wrong about all hosts doesn't change their order.
func (m *member) score(now time.Time, meanLimit float64) float64 {
	load := 1 + float64(m.inFlight) + m.otherLoad(now, meanLimit)
	return load * m.relativeLatencyAt(now) / (m.capacity(meanLimit) * m.health(now) * m.ramp(now))
}

// otherLoad returns the load of other daemons on the host, as the host reported it.
func (m *member) otherLoad(now time.Time, meanLimit float64) float64 {
	load := float64(m.load.InFlight+m.load.Queued) - float64(m.inFlight)
	if load <= 0 {
		return 0
	}
	return min(load, maxReportedLoad*meanLimit) * decay(now.Sub(m.reportedAt), loadHalfLife)
}

// capacity returns the host's concurrency limit relative to the service's mean, bounded.
func (m *member) capacity(meanLimit float64) float64 {
	if m.load.Limit == 0 || meanLimit == 0 {
		return 1
	}
	return min(max(float64(m.load.Limit)/meanLimit, minCapacity), maxCapacity)
}

// relativeLatencyAt returns the relative latency, decayed towards 1 since the last result.
func (m *member) relativeLatencyAt(now time.Time) float64 {
	return 1 + (m.relativeLatency-1)*decay(now.Sub(m.settledAt), healthHalfLife)
}

// health returns the fraction of placements that don't fail, with the failures decayed since the last result.
func (m *member) health(now time.Time) float64 {
	return max(1-m.failureRate*decay(now.Sub(m.settledAt), healthHalfLife), minHealth)
}

// unservedFraction returns the fraction of requests that the host recently declined or that recently failed, whichever is higher.
func (m *member) unservedFraction(now time.Time) float64 {
	return max(m.declineRate*decay(now.Sub(m.settledAt), loadHalfLife), 1-m.health(now))
}

// ramp returns the fraction of its share that a newly added host gets.
func (m *member) ramp(now time.Time) float64 {
	if m.addedAt.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(m.addedAt))/float64(rampTime), minRamp), 1)
}

// decayDelay is the age below which decay returns 1 without computing the exponential.
const decayDelay = 10 * time.Millisecond

// decay returns the factor by which a value of the given age has decayed.
func decay(age, halfLife time.Duration) float64 {
	if age < decayDelay {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// settle records one result; ratio is the request's latency relative to the service's mean.
func (m *member) settle(now time.Time, result Result, ratio float64) {
	m.relativeLatency = m.relativeLatencyAt(now)
	m.failureRate *= decay(now.Sub(m.settledAt), healthHalfLife)
	m.declineRate *= decay(now.Sub(m.settledAt), loadHalfLife)
	m.settledAt = now
	switch result {
	case Served:
		m.relativeLatency += (min(max(ratio, minRelativeLatency), maxRelativeLatency) - m.relativeLatency) * relativeLatencyWeight
		m.failureRate -= m.failureRate * servedWeight
		m.declineRate -= m.declineRate * servedWeight
	case UpstreamFailed:
		m.failureRate += (1 - m.failureRate) * upstreamFailedWeight
	case Declined:
		m.declineRate += (1 - m.declineRate) * declinedWeight
	case NoResponse:
		m.failureRate += (1 - m.failureRate) * noResponseWeight
	}
}
