package lists

import "github.com/cespare/xxhash/v2"

// Organisation is one customer with its plan, and its rate limit and burst across the whole fleet.
type Organisation struct {
	Organisation string  `json:"organisation"`
	Plan         string  `json:"plan"`
	Rate         float64 `json:"rate"`
	Burst        int     `json:"burst"`
	Weight       int     `json:"weight,omitempty"`
}

// Plans is the operators' list of organisations; a rate is in requests per second, a burst in requests.
type Plans struct {
	Organisations []Organisation `json:"organisations"`
}

// Limits of one organisation's entry; they reject typing errors before these reach the fleet.
const (
	maxRate       = 1e6
	maxBurst      = 10_000_000
	maxWeight     = 1000
	maxNameLength = 128
)

func (o *Organisation) check(entry entryRef) {
	entry.checkName("organisation", o.Organisation)
	entry.checkName("plan", o.Plan)
	if o.Rate <= 0 || o.Rate > maxRate {
		entry.addFault("rate", "must be above 0 and at most %g requests/s, is %g", maxRate, o.Rate)
	}
	if o.Burst < 1 || o.Burst > maxBurst {
		entry.addFault("burst", "must be 1 to %d requests, is %d", maxBurst, o.Burst)
	}
	if o.Weight < 0 || o.Weight > maxWeight {
		entry.addFault("weight", "must be 0 (default) to %d, is %d", maxWeight, o.Weight)
	}
}

func (o *Organisation) appendHashes(hashes []uint64) []uint64 {
	return append(hashes, xxhash.Sum64String(o.Organisation))
}

func (p *Plans) check(f *faultList) {
	seen := map[string]int{}
	for i, o := range p.Organisations {
		entry := f.entry("organisations", i)
		if first, dup := seen[o.Organisation]; dup {
			entry.addFault("organisation", "duplicate of organisations[%d] (%q)", first, o.Organisation)
		}
		seen[o.Organisation] = i
		o.check(entry)
	}
}
