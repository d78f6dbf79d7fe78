package quota

import (
	"iter"
	"math"
	"time"
)

// Demands returns the demand of each organisation over all daemons that report, in requests per second. It includes requests that the rate
// limit refuses.
func (p *Pool) Demands(now time.Time) iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		for name, b := range p.buckets {
			decay := math.Exp(-now.Sub(b.updated).Seconds() / demandTimeConstant.Seconds())
			if !yield(name, b.demand*decay) {
				return
			}
		}
	}
}

// AdmitFraction returns the fraction of the organisation's requests that its rate limit admits now.
func (p *Pool) AdmitFraction(name string, now time.Time) float64 {
	return p.allocation(name, now).AdmitFraction
}
