package comeback

import (
	"math/rand/v2"
	"time"
)

// Schedule tells refused requests when to come back, each at a place of its own.
//
// It is for overload that outlasts a burst. Refused callers that all hear the
// same time return together, are refused together, and a surge that had ended
// starts anew. Each refusal is therefore given the next free place in the time
// to come, at the pace at which requests are served.
type Schedule struct {
	next time.Time
	rand func() float64
}

const (
	// Soonest keeps a caller from returning before anything can have changed.
	Soonest = 20 * time.Millisecond
	// Latest bounds the places, since after the trouble a caller still waits that long.
	Latest = 2 * time.Second
	// jitterLeast and jitterSpread set the random factor, 0.75 to 1.25.
	jitterLeast  = 0.75
	jitterSpread = 0.5
)

// Option sets one property of places.
type Option func(*Schedule)

// WithRand sets the source of jitter, numbers from 0 to 1.
func WithRand(f func() float64) Option { return func(p *Schedule) { p.rand = f } }

// New returns places that are all free.
func New(opts ...Option) *Schedule {
	p := &Schedule{rand: rand.Float64}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Next returns the time until the refused request should find room, given when
// room comes for the first and the time between two that are served.
func (p *Schedule) Next(now time.Time, first, interval time.Duration) time.Duration {
	if free := now.Add(first); p.next.Before(free) {
		p.next = free
	}
	place := p.next
	if last := now.Add(Latest); place.After(last) {
		p.next = last.Add(interval)
		return time.Duration(float64(Latest) * (1 + p.rand()) / 2)
	}
	p.next = place.Add(interval)
	wait := time.Duration(float64(place.Sub(now)) * (jitterLeast + jitterSpread*p.rand()))
	return min(max(wait, Soonest), Latest)
}
