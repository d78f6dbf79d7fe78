package comeback

import (
	"math/rand/v2"
	"time"
)

// Schedule spreads the Retry-After delays of refused requests: each one gets its own slot in time.
//
// It handles overload that outlasts a burst. Clients that are given the same delay retry together, are refused together, and restart a
// surge that had ended. Each refused request is therefore given the next free slot, at the pace at which requests are served.
type Schedule struct {
	next time.Time
	rand func() float64
}

const (
	// MinDelay is the shortest delay, so that a client doesn't retry before anything can have changed.
	MinDelay = 20 * time.Millisecond
	// MaxDelay is the longest delay, since a client still waits for it after the overload has ended.
	MaxDelay = 2 * time.Second
	// minJitter and jitterSpread set the range of the random factor, 0.75 to 1.25.
	minJitter    = 0.75
	jitterSpread = 0.5
)

// Option sets one property of a schedule.
type Option func(*Schedule)

// WithRand sets the random source of the jitter, which returns numbers in [0, 1).
func WithRand(f func() float64) Option { return func(s *Schedule) { s.rand = f } }

// New returns a schedule whose slots are all free.
func New(opts ...Option) *Schedule {
	s := &Schedule{rand: rand.Float64}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Next returns the Retry-After delay of a refused request, given the time until the first free capacity and the interval between two
// served requests. A request whose slot is later than MaxDelay gets a random delay between half of MaxDelay and all of it.
func (s *Schedule) Next(now time.Time, first, interval time.Duration) time.Duration {
	if earliest := now.Add(first); s.next.Before(earliest) {
		s.next = earliest
	}
	slot := s.next
	if last := now.Add(MaxDelay); slot.After(last) {
		s.next = last.Add(interval)
		return time.Duration(float64(MaxDelay) * (1 + s.rand()) / 2)
	}
	s.next = slot.Add(interval)
	delay := time.Duration(float64(slot.Sub(now)) * (minJitter + jitterSpread*s.rand()))
	return min(max(delay, MinDelay), MaxDelay)
}
