package rate

import (
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Split gives each host an equal, fixed part of every organisation's rate and burst.
//
// It is the baseline: safe while all hosts hold the same host list, and
// wrongful in its refusals when an organisation's callers arrive unevenly.
type Split struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// NewSplit returns a limiter that admits nothing until it is configured.
func NewSplit() *Split { return &Split{buckets: map[string]*bucket{}} }

// Configure takes over the organisations' rates for a fleet of the given size.
func (s *Split) Configure(organisations []lists.Organisation, hosts int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*bucket, len(organisations))
	share := 1 / float64(max(hosts, 1))
	for _, o := range organisations {
		b := s.buckets[o.Organisation]
		if b == nil {
			b = &bucket{last: now, tokens: float64(o.Burst) * share}
		}
		b.refill(now)
		b.rate = o.Rate * share
		b.burst = float64(o.Burst) * share
		b.tokens = min(b.tokens, b.burst)
		next[o.Organisation] = b
	}
	s.buckets = next
}

// Spend takes one token, or returns false and the time until there is one.
func (s *Split) Spend(organisation string, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[organisation]
	if b == nil {
		return time.Second, false
	}
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(now.Sub(b.last).Seconds(), 0))
	b.last = now
}
