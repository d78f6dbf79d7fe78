package allot

import (
	"cmp"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// Shortage is a service that can't serve all of its demand, with the inputs and the result of the last plan.
type Shortage struct {
	Service string `json:"service"`
	// Resource names the exhausted resource, slots or repeats. For repeats, Slots, Requested and Allocated are in retries per second.
	Resource   string  `json:"of"`
	Slots      float64 `json:"slots"`
	Saturation float64 `json:"fullness"`
	// Correction is the lasting correction of the slots by measured saturation, Requested the slots that all demand would take, and
	// Allocated the slots that the admitted requests should take.
	Correction float64 `json:"factor"`
	Requested  float64 `json:"asked"`
	Allocated  float64 `json:"given"`
}

// Shortages returns the services that limited the last plan, ordered by name.
func (p *Planner) Shortages() []Shortage {
	var all []Shortage
	for name, s := range p.services {
		if s.constrained {
			all = append(all, Shortage{name, slots.String(), s.slots, s.saturation, s.correction, s.requested, s.allocatedFraction * s.slots})
		}
	}
	all = append(all, p.retryShortages...)
	slices.SortFunc(all, func(a, b Shortage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Resource, b.Resource))
	})
	return all
}

// recordPlan records what the plan allocates, for the next correction and for Shortages.
func (p *Planner) recordPlan(classes []classNeeds, fractions map[shed.Class]float64, capacity map[resource]float64) {
	allocated, requested := map[resource]float64{}, map[resource]float64{}
	for _, c := range classes {
		for r, need := range c.needs {
			requested[r] += need
			allocated[r] += need * fractions[c.Class]
		}
	}
	p.retryShortages = nil
	for r, available := range capacity {
		if r.kind == retries && allocated[r] >= exhaustedFraction*available {
			p.retryShortages = append(p.retryShortages, Shortage{Service: r.service, Resource: retries.String(), Slots: available, Requested: requested[r], Allocated: allocated[r]})
		}
	}
	for name, s := range p.services {
		key := resource{name, slots}
		s.allocatedFraction, s.constrained, s.requested = 0, false, requested[key]
		if s.slots > 0 {
			s.allocatedFraction = allocated[key] / s.slots
			s.constrained = allocated[key] >= exhaustedFraction*capacity[key]
		}
	}
}
