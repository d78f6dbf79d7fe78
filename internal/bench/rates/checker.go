package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Checker is one global bucket that sees every admission of an organisation. An admission
// that finds it empty breaks the invariant, for some interval that ends there:
// a bucket admits a sequence exactly when each interval has at most burst + rate × length.
type Checker struct {
	buckets map[string]*reference
	// Excess is the greatest number of tokens that was ever missing.
	Excess float64
	// When is the time of the first admission over the invariant.
	When time.Time
}

type reference struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// rounding is what the sums of fractions may be off by.
const rounding = 1e-6

// NewChecker returns a checker for the organisations, with full buckets.
func NewChecker(organisations []lists.Organisation, now time.Time) *Checker {
	c := &Checker{buckets: map[string]*reference{}}
	for _, o := range organisations {
		c.buckets[o.Organisation] = &reference{rate: o.Rate, burst: float64(o.Burst), tokens: float64(o.Burst), last: now}
	}
	return c
}

// SetPlan changes what an organisation is measured by from now on.
func (c *Checker) SetPlan(organisation string, rate, burst float64, now time.Time) {
	r := c.buckets[organisation]
	r.refill(now)
	r.tokens += max(burst-r.burst, 0)
	r.rate, r.burst = rate, burst
}

// Admit takes one admission into account and reports whether the invariant still holds.
func (c *Checker) Admit(organisation string, now time.Time) bool {
	r := c.buckets[organisation]
	r.refill(now)
	r.tokens--
	if r.tokens >= -rounding {
		return true
	}
	if c.When.IsZero() {
		c.When = now
	}
	c.Excess = max(c.Excess, -r.tokens)
	return false
}

// Inside reports whether one global bucket that sees all arrivals would admit this one, and spends its token.
func (c *Checker) Inside(organisation string, now time.Time) bool {
	r := c.buckets[organisation]
	r.refill(now)
	if r.tokens < 1-rounding {
		return false
	}
	r.tokens--
	return true
}

func (r *reference) refill(now time.Time) {
	r.tokens = min(r.tokens+r.rate*now.Sub(r.last).Seconds(), r.burst)
	r.last = now
}
