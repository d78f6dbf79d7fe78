package collect

import (
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// surges has the organisations that the plan lists as surging, and what the plan admits of their surplus.
type surges struct {
	meter   *shares.Meter
	listed  []shares.Surge
	surplus []shed.Allocation
}

func newSurges() surges { return surges{meter: shares.NewMeter()} }

// updateSurges records the organisations' demand and lists those that surge while the plan rejects requests. A plan that only rejects surplus
// counts too: otherwise the list would be empty with every other plan.
func (c *Collector) updateSurges(rejecting bool, now time.Time) {
	c.surges.meter.Observe(c.rates.Demands(now), now)
	before := c.surges.listed
	c.surges.listed = nil
	if !rejecting {
		return
	}
	c.surges.listed = c.surges.meter.Surges(func(name string) float64 { return c.rates.AdmitFraction(name, now) })
	for _, surge := range c.surges.listed {
		if !slices.ContainsFunc(before, func(s shares.Surge) bool { return s.Organisation == surge.Organisation }) {
			c.observer.OrganisationSurges(surge)
		}
	}
}
