package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// equalSplit gives a host a fixed share of every organisation's rate and burst: 1/n, for the n hosts of its host list. It is
// safe only while all hosts have the same list.
type equalSplit struct {
	plans   map[string]lists.Organisation
	hosts   int
	buckets map[string]*bucket
}

func newEqualSplit(plans map[string]lists.Organisation) *equalSplit {
	return &equalSplit{plans: plans, buckets: map[string]*bucket{}}
}

func (e *equalSplit) setHosts(hosts int) { e.hosts = hosts }

func (e *equalSplit) spend(organisation string, now time.Time) bool {
	o, ok := e.plans[organisation]
	if !ok || e.hosts == 0 {
		return false
	}
	b, ok := e.buckets[organisation]
	if !ok {
		b = &bucket{last: now}
		e.buckets[organisation] = b
	}
	b.rate, b.burst = o.Rate/float64(e.hosts), float64(o.Burst)/float64(e.hosts)
	b.refill(now)
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens--
	return true
}
