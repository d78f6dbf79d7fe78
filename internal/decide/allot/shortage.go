package allot

import (
	"cmp"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// Shortage is a service that can't do all that is asked of it, with what the last plan was made from.
type Shortage struct {
	Service string `json:"service"`
	// Resource names what is short: slots, or repeats a second, for which the other fields are meant then.
	Resource   string  `json:"of"`
	Slots      float64 `json:"slots"`
	Saturation float64 `json:"fullness"`
	// Factor corrects the slots by how full they were found to be; Requested are the slots that all requests would take, Given those
	// that the requests that are begun should take.
	Factor    float64 `json:"factor"`
	Requested float64 `json:"asked"`
	Given     float64 `json:"given"`
}

// Shortages returns the services that were short in the last plan, by name.
func (p *Planner) Shortages() []Shortage {
	var all []Shortage
	for name, v := range p.services {
		if v.short {
			all = append(all, Shortage{name, slots.String(), v.slots, v.full, v.factor, v.asked, v.used * v.slots})
		}
	}
	all = append(all, p.unrepeated...)
	slices.SortFunc(all, func(a, b Shortage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Resource, b.Resource))
	})
	return all
}

// note keeps what the plan gives out, for the next correction.
func (p *Planner) note(lanes []lane, open map[shed.Class]float64, room map[resource]float64) {
	used, asked := map[resource]float64{}, map[resource]float64{}
	for _, l := range lanes {
		for what, need := range l.needs {
			asked[what] += need
			used[what] += need * open[l.Class]
		}
	}
	p.unrepeated = nil
	for what, left := range room {
		if what.use == again && used[what] >= shortFrom*left {
			p.unrepeated = append(p.unrepeated, Shortage{Service: what.service, Resource: again.String(), Slots: left, Requested: asked[what], Given: used[what]})
		}
	}
	for name, v := range p.services {
		own := resource{name, slots}
		v.used, v.short, v.asked = 0, false, asked[own]
		if v.slots > 0 {
			v.used = used[own] / v.slots
			v.short = used[own] >= shortFrom*room[own]
		}
	}
}
