package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Checker keeps one global bucket for each organisation, which sees every admission. An admission that finds the bucket empty
// violates the invariant in some interval that ends at that time: a bucket admits a sequence exactly if each interval has
// at most burst + rate × length.
type Checker struct {
	buckets map[string]*bucket
	// Excess is the greatest number of tokens by which a bucket was overdrawn.
	Excess float64
	// FirstExcess is the time of the first admission that violated the invariant.
	FirstExcess time.Time
}

type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// roundingTolerance is the permitted rounding error of sums of token fractions.
const roundingTolerance = 1e-6

// NewChecker returns a checker for the organisations, with full buckets.
func NewChecker(organisations []lists.Organisation, now time.Time) *Checker {
	c := &Checker{buckets: map[string]*bucket{}}
	for _, o := range organisations {
		c.buckets[o.Organisation] = &bucket{rate: o.Rate, burst: float64(o.Burst), tokens: float64(o.Burst), last: now}
	}
	return c
}

// SetPlan sets the rate and burst that an organisation is checked against from now on.
func (c *Checker) SetPlan(organisation string, rate, burst float64, now time.Time) {
	b := c.buckets[organisation]
	b.refill(now)
	b.tokens += max(burst-b.burst, 0)
	b.rate, b.burst = rate, burst
}

// Admit records one admission and reports whether the invariant holds.
func (c *Checker) Admit(organisation string, now time.Time) bool {
	b := c.buckets[organisation]
	b.refill(now)
	b.tokens--
	if b.tokens >= -roundingTolerance {
		return true
	}
	if c.FirstExcess.IsZero() {
		c.FirstExcess = now
	}
	c.Excess = max(c.Excess, -b.tokens)
	return false
}

// Inside reports whether one global bucket that sees all arrivals would admit this one, and if so takes its token.
func (c *Checker) Inside(organisation string, now time.Time) bool {
	b := c.buckets[organisation]
	b.refill(now)
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.last).Seconds(), b.burst)
	b.last = now
}
