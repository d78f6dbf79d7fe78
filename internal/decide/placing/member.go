package placing

import (
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// member is one host of a service as this daemon knows it.
type member struct {
	host     lists.Host
	since    time.Time
	inFlight int

	// pace is the host's latency relative to the service's mean of the same operation.
	pace float64
	// trouble is the recent share of failed placements.
	trouble float64
	// declined is the recent share of placements that the host refused for overload.
	declined float64
	settled  time.Time

	load   call.Load
	loadAt time.Time
}

const (
	paceWeight    = 0.2
	failedWeight  = 0.5
	faultyWeight  = 0.1
	declineWeight = 0.3
	servedWeight  = 0.3
	leastPace     = 1.0 / 8
	mostPace      = 8
	leastHealth   = 1.0 / 32
	leastCapacity = 1.0 / 2
	mostCapacity  = 2
	leastRamp     = 0.1
	// memory is the half-life of what is known of a host that gets no requests:
	// what once was slow or dead is tried again, little by little.
	memory = 5 * time.Second
	// loadMemory is the half-life of a reported load and of refusals, which are old news soon.
	loadMemory = 500 * time.Millisecond
	// rampTime is how long a host that has newly appeared gets less than its
	// share: caches and connections are cold, and a full share would stall it.
	rampTime = 10 * time.Second
	// mostHint bounds a reported load, in means of the service's limits.
	mostHint = 2
)

// score is an estimate of how long a request takes on the host, in means of the service.
//
// What this daemon has seen itself counts in full: requests in flight, latency,
// failures. What a host reports of itself is a hint with bounds, since health
// and load reports lag or mislead: a host that claims to be idle is not filled
// beyond what its answers bear out, and one that claims to be full still gets a
// part. Failures raise the score by a bounded factor, so that a signal that is
// wrong about all hosts changes nothing between them.
func (m *member) score(now time.Time, meanLimit float64) float64 {
	busy := 1 + float64(m.inFlight) + m.others(now, meanLimit)
	return busy * m.paceAt(now) / (m.capacity(meanLimit) * m.health(now) * m.ramp(now))
}

// others is the load that other daemons put on the host, as it reported.
func (m *member) others(now time.Time, meanLimit float64) float64 {
	others := float64(m.load.InFlight+m.load.Queued) - float64(m.inFlight)
	if others <= 0 {
		return 0
	}
	return min(others, mostHint*meanLimit) * fade(now.Sub(m.loadAt), loadMemory)
}

func (m *member) capacity(meanLimit float64) float64 {
	if m.load.Limit == 0 || meanLimit == 0 {
		return 1
	}
	return min(max(float64(m.load.Limit)/meanLimit, leastCapacity), mostCapacity)
}

func (m *member) paceAt(now time.Time) float64 {
	return 1 + (m.pace-1)*fade(now.Sub(m.settled), memory)
}

func (m *member) health(now time.Time) float64 {
	return max(1-m.trouble*fade(now.Sub(m.settled), memory), leastHealth)
}

// spent returns the share of requests that the host lately refused or failed, the greater of both.
func (m *member) spent(now time.Time) float64 {
	return max(m.declined*fade(now.Sub(m.settled), loadMemory), 1-m.health(now))
}

func (m *member) ramp(now time.Time) float64 {
	if m.since.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(m.since))/float64(rampTime), leastRamp), 1)
}

// fresh is what needs no computing of a fade.
const fresh = 10 * time.Millisecond

func fade(age, half time.Duration) float64 {
	if age < fresh {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}

// settle takes in one ending; ratio is its latency relative to the service's mean.
func (m *member) settle(now time.Time, e Ending, ratio float64) {
	m.pace = m.paceAt(now)
	m.trouble *= fade(now.Sub(m.settled), memory)
	m.declined *= fade(now.Sub(m.settled), loadMemory)
	m.settled = now
	switch e {
	case Served:
		m.pace += (min(max(ratio, leastPace), mostPace) - m.pace) * paceWeight
		m.trouble -= m.trouble * servedWeight
		m.declined -= m.declined * servedWeight
	case Faulty:
		m.trouble += (1 - m.trouble) * faultyWeight
	case Declined:
		m.declined += (1 - m.declined) * declineWeight
	case Failed:
		m.trouble += (1 - m.trouble) * failedWeight
	}
}
