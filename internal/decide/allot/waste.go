package allot

import (
	"math"
	"time"
)

// waste is how many requests have reached a service's instances over the last moments, and how many of them in vain.
type waste struct {
	wasted, seen float64
	at           time.Time
}

// metTime is how long it is remembered how many requests have reached a service's instances in vain.
const metTime = 400 * time.Millisecond

// RecordDeliveries takes in how many requests an instance of the service has seen, and how many of them have to be sent again: it turned them
// away, or its answer was lost or a failure of its own.
func (p *Planner) RecordDeliveries(service string, seen, wasted int, now time.Time) {
	m := p.met[service]
	if m == nil {
		m = &waste{at: now}
		p.met[service] = m
	}
	fade := math.Exp(-now.Sub(m.at).Seconds() / metTime.Seconds())
	m.wasted = m.wasted*fade + float64(wasted)
	m.seen = m.seen*fade + float64(seen)
	m.at = now
}

const (
	// leastWasted is the part that comes to nothing from which on it is planned for: now and then an instance is full.
	leastWasted = 0.03
	// mostWasted bounds the part that counts, since some must be begun to find out that it has become less.
	mostWasted = 0.95
	// fewSeen is how many requests make up a part that can be told.
	fewSeen = 5
)

// repeats is how often a request is sent once more to the service until an instance takes it.
func (p *Planner) repeats(service string) float64 {
	m := p.met[service]
	if m == nil || m.seen < fewSeen {
		return 0
	}
	wasted := min(m.wasted/m.seen, mostWasted)
	if wasted < leastWasted {
		return 0
	}
	return wasted / (1 - wasted)
}
