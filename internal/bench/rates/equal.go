package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// equal is a host's fixed part of every organisation's rate and burst: one in
// so many hosts as its list has. It is safe while all hosts hold the same list.
type equal struct {
	plans   map[string]lists.Organisation
	hosts   int
	buckets map[string]*reference
}

func newEqual(plans map[string]lists.Organisation) *equal {
	return &equal{plans: plans, buckets: map[string]*reference{}}
}

func (e *equal) setHosts(hosts int) { e.hosts = hosts }

func (e *equal) spend(organisation string, now time.Time) bool {
	o, ok := e.plans[organisation]
	if !ok || e.hosts == 0 {
		return false
	}
	r, ok := e.buckets[organisation]
	if !ok {
		r = &reference{last: now}
		e.buckets[organisation] = r
	}
	r.rate, r.burst = o.Rate/float64(e.hosts), float64(o.Burst)/float64(e.hosts)
	r.refill(now)
	if r.tokens < 1-rounding {
		return false
	}
	r.tokens--
	return true
}
