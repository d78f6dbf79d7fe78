package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/offers"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// outcome is the result of a request.
type outcome uint8

const (
	succeeded outcome = iota
	notRun
	failed
)

// answer is the response to a request.
type answer struct {
	outcome    outcome
	result     choice.Result
	retryAfter time.Duration
	load       call.Load
	// delivered means that the request reached an instance, and subcallFailed that a failed sub-call caused its failure.
	delivered, subcallFailed bool
	// responseLost means that the instance ran the request but its response was lost.
	responseLost bool
}

// request is one request at the daemon that received it from a caller or from its local instance.
type request struct {
	route *Route
	// root is the route of the caller's request that this one is part of.
	root         *Route
	organisation string
	deadline     time.Time
	subcall      bool
	// retry marks a sub-call of a run that is itself a retry.
	retry  bool
	counts []*Counts
	done   func(answer)
	// finished is set once the request has a response or was cancelled.
	finished bool
	// cancelAttempt cancels the current attempt.
	cancelAttempt func()

	tracker *offers.Tracker
	// last is the response to send if no further attempt is made.
	last answer
}

// cancel cancels the request and its current attempt, since the sender no longer waits for it.
func (q *request) cancel() {
	if q.finished {
		return
	}
	q.finished = true
	if q.cancelAttempt != nil {
		q.cancelAttempt()
	}
}

func (q *request) finish(a answer) {
	if q.finished {
		return
	}
	q.finished = true
	q.done(a)
}

func (q *request) class() shed.Class {
	return shed.Class{Route: q.root.Name, Service: q.root.Service, Rank: q.root.Rank}
}

// serve admits or rejects a caller's request; sub-calls are always admitted. It then earns retry budget, or charges the
// budget for a sub-call of a retry, and sends the first attempt.
func (h *host) serve(q *request) {
	now := h.fleet.now()
	if !q.subcall {
		if decision := h.shedder.Admit(q.class(), q.route.Target, now); !decision.Admitted {
			q.finish(answer{outcome: notRun, retryAfter: decision.RetryAfter})
			return
		}
	}
	if q.retry {
		h.retryBudget.Charge(q.route.Service, now)
	} else {
		h.retryBudget.Earn(q.route.Service, now)
		h.fleet.result.sentAt(q.route.Service, now.Sub(h.fleet.start)).Requests++
	}
	q.tracker = offers.New(q.route.Attempts, offers.Without(h.fleet.scenario.Without))
	q.last = answer{outcome: notRun, retryAfter: declinedRetryAfter}
	h.sendNext(q)
}

// declinedRetryAfter is the Retry-After delay where an instance declined the request or none could be reached.
const declinedRetryAfter = 250 * time.Millisecond

// sendNext sends the next attempt, or finishes the request if no further attempt is allowed.
func (h *host) sendNext(q *request) {
	now := h.fleet.now()
	if q.finished {
		return
	}
	if !q.tracker.CanRetry() || !now.Before(q.deadline) || q.tracker.Delivered() && !h.retryBudget.Spend(q.route.Service, priority(q.root), now) {
		q.finish(q.last)
		return
	}
	candidates, lastResort := q.tracker.Candidates(h.fleet.instances[q.route.Service])
	instance, ok := h.balancer.Pick(candidates, lastResort, q.deadline.Sub(now), now)
	if !ok {
		q.finish(q.last)
		return
	}
	h.sendTo(q, instance)
}

// sendTo sends the request to the host of the instance.
func (h *host) sendTo(q *request, instance routing.Instance) {
	sent := h.fleet.now()
	retry := q.retry || q.tracker.Delivered()
	destination := h.fleet.byID[instance.ID]
	attempt := &execution{host: destination, request: q, retry: retry}
	recorded := false
	record := func(a answer) {
		if recorded {
			return
		}
		recorded = true
		if a.subcallFailed {
			a.result = choice.Withdrawn
		}
		h.balancer.Record(instance, a.result, h.fleet.now().Sub(sent), a.load, h.fleet.now())
	}
	q.cancelAttempt = func() {
		record(answer{result: choice.Withdrawn})
		attempt.cancel()
	}
	attempt.done = func(a answer) {
		h.fleet.clock.After(hostDelay, func() {
			record(a)
			h.handleResult(q, instance.ID, a)
		})
	}
	for _, c := range q.counts {
		if instance.Zone != h.instance.Zone {
			c.CrossZone++
		}
	}
	h.fleet.clock.After(hostDelay, attempt.arrive)
}

// handleResult records the result of an attempt and finishes the request or sends the next attempt.
//
// After a request that ran and failed, there is another attempt only if the route allows it and the instance itself failed or
// its response was lost. A failed sub-call has already been retried by the instance's host; only if that mechanism is disabled,
// the whole request is retried.
func (h *host) handleResult(q *request, id string, a answer) {
	if q.finished {
		return
	}
	q.tracker.Record(id, a.result, a.delivered)
	if q.last.outcome == notRun || a.outcome != notRun {
		q.last = a
	}
	if a.outcome == succeeded || a.outcome == failed && (q.route.AtMostOnce || a.subcallFailed && !h.fleet.without(mechanism.CallFailures) || !a.responseLost && a.result != choice.Failed) {
		q.finish(q.last)
		return
	}
	h.sendNext(q)
}
