package lists

import "github.com/cespare/xxhash/v2"

// Organisation is one customer: its plan, and the rate and burst it has across the whole fleet.
type Organisation struct {
	Organisation string  `json:"organisation"`
	Plan         string  `json:"plan"`
	Rate         float64 `json:"rate"`
	Burst        int     `json:"burst"`
	Weight       int     `json:"weight,omitempty"`
}

// Plans is the operators' list of organisations; rates are requests per second, bursts whole requests.
type Plans struct {
	Organisations []Organisation `json:"organisations"`
}

// Bounds of one organisation's entry; they catch slips of the keyboard before they reach the fleet.
const (
	maxRate   = 1e6
	maxBurst  = 10_000_000
	maxWeight = 1000
	maxName   = 128
)

func (o *Organisation) check(at place) {
	at.name("organisation", o.Organisation)
	at.name("plan", o.Plan)
	if o.Rate <= 0 || o.Rate > maxRate {
		at.add("rate", "must be above 0 and at most %g requests/s, is %g", maxRate, o.Rate)
	}
	if o.Burst < 1 || o.Burst > maxBurst {
		at.add("burst", "must be 1 to %d requests, is %d", maxBurst, o.Burst)
	}
	if o.Weight < 0 || o.Weight > maxWeight {
		at.add("weight", "must be 0 (default) to %d, is %d", maxWeight, o.Weight)
	}
}

func (o *Organisation) marks(into []uint64) []uint64 {
	return append(into, xxhash.Sum64String(o.Organisation))
}

func (p *Plans) check(f *faults) {
	seen := map[string]int{}
	for i, o := range p.Organisations {
		at := f.at("organisations", i)
		if first, dup := seen[o.Organisation]; dup {
			at.add("organisation", "duplicate of organisations[%d] (%q)", first, o.Organisation)
		}
		seen[o.Organisation] = i
		o.check(at)
	}
}
