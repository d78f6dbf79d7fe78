package offers

import (
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

const (
	// maxUndelivered bounds the attempts that reach no instance: full hosts, leaving ones and stale list entries cost a round trip each.
	maxUndelivered = 3
	// maxDelivered bounds the attempts that reach an instance, in addition to the fleet's retry budget.
	maxDelivered = 10
)

// Tracker tracks the attempts of one request and decides which instances may receive the next one.
//
// It handles services whose instances decline a fraction of their requests at random, called several times by one request: if half
// are declined, three attempts per sub-call complete one in three of the lookups that make eight sub-calls, and eight attempts complete
// nearly all. An instance that declined has run nothing and may be tried again without exceeding the bound on distinct instances.
type Tracker struct {
	// maxInstances is the maximum number of distinct instances that may receive the request.
	maxInstances int
	tried        map[string]bool
	// declined are the instances that received the request and declined it.
	declined map[string]bool
	// delivered and undelivered count attempts, and instances the distinct instances that received the request.
	delivered   int
	instances   int
	undelivered int
	// redirected means that the request was redirected, from the untried instance redirectedFrom if there was one; charged means that the
	// charge for that attempt holds for the next one.
	redirected     bool
	redirectedFrom string
	charged        bool
	// noRetryDeclined means that declined instances are not tried again (disabled mechanism).
	noRetryDeclined bool
}

// Option sets one property of a tracker.
type Option func(*Tracker)

// Without disables mechanisms.
func Without(s mechanism.Set) Option {
	return func(t *Tracker) { t.noRetryDeclined = s.Has(mechanism.RetryDeclined) }
}

// New returns the tracker of a request that at most maxInstances instances may receive.
func New(maxInstances int, opts ...Option) *Tracker {
	t := &Tracker{maxInstances: max(maxInstances, 1)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Started reports whether there has been an attempt.
func (t *Tracker) Started() bool { return t.delivered+t.undelivered > 0 || t.redirected }

// Delivered reports whether an instance has received the request, so that the next attempt is a retry.
func (t *Tracker) Delivered() bool { return t.delivered > 0 }

// Charged reports whether the next attempt is charged to the retry budget: a retry is, unless the last attempt was charged and redirected.
func (t *Tracker) Charged() bool { return t.Delivered() && !t.charged }

// Redirected reports whether the request was redirected before, so that every instance accepts it.
func (t *Tracker) Redirected() bool { return t.redirected }

// Redirect records that the instance redirected the request because it is slow. It is left out while there are others, and counts as untried.
func (t *Tracker) Redirect(id string) {
	t.redirected, t.charged = true, t.Delivered()
	if t.tried[id] {
		return
	}
	t.redirectedFrom = id
	t.exclude(id)
}

// Defer records that the attempt reached no instance and that another one takes its place, with its charge.
func (t *Tracker) Defer() { t.charged = t.Delivered() }

// exclude leaves out the instance.
func (t *Tracker) exclude(id string) {
	if t.tried == nil {
		t.tried = map[string]bool{}
	}
	t.tried[id] = true
}

// CanRetry reports whether another attempt is allowed.
func (t *Tracker) CanRetry() bool {
	return t.undelivered < maxUndelivered && t.delivered < maxDelivered && (t.instances < t.maxInstances || len(t.declined) > 0)
}

// Candidates returns the instances for the next attempt, and those of them that are excluded because they were tried before.
func (t *Tracker) Candidates(instances []routing.Instance) (from []routing.Instance, excluded map[string]bool) {
	if t.instances >= t.maxInstances {
		return t.declinedOf(instances), nil
	}
	if t.anyUntried(instances) {
		return instances, t.tried
	}
	if t.redirectedFrom != "" {
		delete(t.tried, t.redirectedFrom)
		t.redirectedFrom = ""
		if t.anyUntried(instances) {
			return instances, t.tried
		}
	}
	return t.declinedOf(instances), nil
}

// anyUntried reports whether an untried instance may be sent the request. A draining one takes no new requests.
func (t *Tracker) anyUntried(instances []routing.Instance) bool {
	for i := range instances {
		if !instances[i].Draining && !t.tried[instances[i].ID] {
			return true
		}
	}
	return false
}

// declinedOf returns those of the instances that have declined the request.
func (t *Tracker) declinedOf(instances []routing.Instance) []routing.Instance {
	declined := make([]routing.Instance, 0, len(t.declined))
	for i := range instances {
		if t.declined[instances[i].ID] {
			declined = append(declined, instances[i])
		}
	}
	return declined
}

// Record records the result of an attempt at the instance, and whether the instance received the request.
func (t *Tracker) Record(id string, result choice.Result, delivered bool) {
	first := !t.tried[id]
	t.charged = false
	t.exclude(id)
	if !delivered {
		t.undelivered++
		return
	}
	t.delivered++
	if first {
		t.instances++
	}
	if result == choice.Declined && !t.noRetryDeclined {
		if t.declined == nil {
			t.declined = map[string]bool{}
		}
		t.declined[id] = true
		return
	}
	delete(t.declined, id)
}
