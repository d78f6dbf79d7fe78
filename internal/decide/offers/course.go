package offers

import (
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

const (
	// mostUnseen bounds the offers that no instance has seen: hosts that are full, leaving or stale cost a round trip each.
	mostUnseen = 3
	// mostSeen bounds the offers that instances have seen, beside the fleet's bound on repeats.
	mostSeen = 10
)

// Tracker is what has become of one request's offers.
//
// It is for services whose instances turn away part of what they get at random, below requests that call them several
// times: where half is turned away, three tries end one lookup of eight calls in three, and eight tries nearly all.
// An instance that has declined has run nothing and may be asked again, so the bound on instances is kept.
type Tracker struct {
	// attempts is the most instances that may see the request.
	attempts int
	tried    map[string]bool
	// declined are the instances that have seen the request and turned it away.
	declined map[string]bool
	seen     int
	distinct int
	unseen   int
	once     bool
}

// Option sets one property of a course.
type Option func(*Tracker)

// Without switches mechanisms off.
func Without(s mechanism.Set) Option {
	return func(c *Tracker) { c.once = s.Has(mechanism.RetryDeclined) }
}

// New returns the course of a request that may be sent to so many instances.
func New(attempts int, opts ...Option) *Tracker {
	c := &Tracker{attempts: max(attempts, 1), tried: map[string]bool{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Delivered reports whether an instance has seen the request, so that the next offer is a repeat.
func (c *Tracker) Delivered() bool { return c.seen > 0 }

// CanRetry reports whether the request may be offered once more.
func (c *Tracker) CanRetry() bool {
	return c.unseen < mostUnseen && c.seen < mostSeen && (c.distinct < c.attempts || len(c.declined) > 0)
}

// Candidates returns the instances that the next offer may go to, with those that are taken only where there are no others.
func (c *Tracker) Candidates(all []routing.Instance) (from []routing.Instance, behind map[string]bool) {
	if c.distinct >= c.attempts {
		return c.again(all), nil
	}
	for i := range all {
		if !c.tried[all[i].ID] {
			return all, c.tried
		}
	}
	return c.again(all), nil
}

// again returns the instances that have declined.
func (c *Tracker) again(all []routing.Instance) []routing.Instance {
	from := make([]routing.Instance, 0, len(c.declined))
	for i := range all {
		if c.declined[all[i].ID] {
			from = append(from, all[i])
		}
	}
	return from
}

// Record takes in how an offer to the instance ended, and whether the instance has seen the request.
func (c *Tracker) Record(id string, e choice.Result, seen bool) {
	first := !c.tried[id]
	c.tried[id] = true
	if !seen {
		c.unseen++
		return
	}
	c.seen++
	if first {
		c.distinct++
	}
	if e == choice.Declined && !c.once {
		if c.declined == nil {
			c.declined = map[string]bool{}
		}
		c.declined[id] = true
		return
	}
	delete(c.declined, id)
}
