package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/offers"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
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
	// final means that no other instance runs the request, and suspect, if not 0, that it runs on one instance at a time, which is chosen by it.
	final   bool
	suspect quarantine.Fingerprint
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
	// content is the same in each attempt, also of the caller, and suspect its fingerprint if it runs on one instance at a time.
	content  string
	suspect  quarantine.Fingerprint
	deadline time.Time
	subcall  bool
	// retry marks a sub-call of a run that is itself a retry.
	retry bool
	// noRetry marks a caller's request that is admitted without retries.
	noRetry bool
	counts  []*Counts
	done    func(answer)
	// finished is set once the request has a response or was cancelled.
	finished bool
	// cancelAttempt cancels the current attempt.
	cancelAttempt func()

	tracker *offers.Tracker
	// last is the response to send if no further attempt is made.
	last answer
}

// cancel cancels the request and its current attempt, since the sender no longer waits for it.
func (req *request) cancel() {
	if req.finished {
		return
	}
	req.finished = true
	if req.cancelAttempt != nil {
		req.cancelAttempt()
	}
}

func (req *request) finish(a answer) {
	if req.finished {
		return
	}
	req.finished = true
	req.done(a)
}

func (req *request) class() shed.Class {
	return shed.Class{Route: req.root.Name, Service: req.root.Service, Rank: req.root.Rank}
}

// serve admits or rejects a caller's request; sub-calls are always admitted. It then earns retry budget, or charges the
// budget for a sub-call of a retry, and sends the first attempt.
func (h *host) serve(req *request) {
	now := h.fleet.now()
	if !req.subcall {
		decision := h.shedder.Admit(req.class(), req.route.Target, now)
		if !decision.Admitted {
			req.finish(answer{outcome: notRun, retryAfter: decision.RetryAfter})
			return
		}
		req.noRetry = decision.NoRetry
	}
	if req.retry {
		h.retryBudget.Charge(req.route.Service, now)
	} else {
		h.retryBudget.Earn(req.route.Service, now)
		h.fleet.result.sentAt(req.route.Service, now.Sub(h.fleet.start)).Requests++
	}
	req.tracker = offers.New(req.route.Attempts, offers.Without(h.fleet.scenario.Without))
	req.last = answer{outcome: notRun, retryAfter: declinedRetryAfter}
	h.sendNext(req)
}

// declinedRetryAfter is the Retry-After delay where an instance declined the request or none could be reached.
const declinedRetryAfter = 250 * time.Millisecond

// sendNext sends the next attempt, or finishes the request if no further attempt is allowed.
func (h *host) sendNext(req *request) {
	now := h.fleet.now()
	if req.finished {
		return
	}
	if !req.tracker.CanRetry() || !now.Before(req.deadline) || req.tracker.Delivered() && !h.mayRetry(req, now) {
		req.finish(req.last)
		return
	}
	candidates, excluded := req.tracker.Candidates(h.fleet.instances[req.route.Service])
	instance, ok := h.pick(req, candidates, excluded, now)
	if !ok {
		req.finish(req.last)
		return
	}
	h.sendTo(req, instance)
}

// pick chooses the instance for the next attempt.
func (h *host) pick(req *request, candidates []routing.Instance, excluded map[string]bool, now time.Time) (routing.Instance, bool) {
	if req.suspect != 0 {
		return choice.ByFingerprint(uint64(req.suspect), candidates, excluded)
	}
	return h.balancer.Pick(candidates, excluded, req.route.Name, req.deadline.Sub(now), now)
}

// mayRetry spends a retry for the request, if it may have one.
func (h *host) mayRetry(req *request, now time.Time) bool {
	return !req.noRetry && h.retryBudget.Spend(req.route.Service, priority(req.root), now)
}

// sendTo sends the request to the host of the instance.
func (h *host) sendTo(req *request, instance routing.Instance) {
	sent := h.fleet.now()
	retry := req.retry || req.tracker.Delivered()
	destination := h.fleet.byID[instance.ID]
	attempt := &execution{host: destination, request: req, retry: retry}
	recorded := false
	record := func(a answer) {
		if recorded {
			return
		}
		recorded = true
		if a.subcallFailed {
			a.result = choice.Withdrawn
		}
		h.balancer.Record(instance, choice.Attempt{Route: req.route.Name, Result: a.result, Took: h.fleet.now().Sub(sent), Load: a.load}, h.fleet.now())
	}
	req.cancelAttempt = func() {
		record(answer{result: choice.Withdrawn})
		attempt.cancel()
	}
	attempt.done = func(a answer) {
		h.fleet.clock.After(hostDelay, func() {
			record(a)
			h.handleResult(req, instance.ID, a)
		})
	}
	for _, c := range req.counts {
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
func (h *host) handleResult(req *request, id string, a answer) {
	if req.finished {
		return
	}
	if a.suspect != 0 && req.suspect == 0 {
		req.suspect = a.suspect
		req.tracker.Defer()
		h.sendNext(req)
		return
	}
	req.tracker.Record(id, a.result, a.delivered)
	if req.last.outcome == notRun || a.outcome != notRun {
		req.last = a
	}
	if a.outcome == succeeded || a.final || a.outcome == failed && (req.route.AtMostOnce || a.subcallFailed && !h.fleet.without(mechanism.CallFailures) || !a.responseLost && a.result != choice.Failed) {
		req.finish(req.last)
		return
	}
	h.sendNext(req)
}
