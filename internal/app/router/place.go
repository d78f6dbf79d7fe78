package router

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/offers"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// noInstanceRetryAfter is the Retry-After of a service without a reachable instance: an instance that has started is listed within seconds.
const noInstanceRetryAfter = 500 * time.Millisecond

// excludedRetryAfter is the Retry-After of a service whose instances must not be sent the request: operators restore a zone, or an instance
// starts in an allowed region, after seconds or later.
const excludedRetryAfter = time.Second

// dispatch sends the request to instances of its service until one has run it, or may have, or no attempt is left.
func (r *Router) dispatch(ctx context.Context, req *request) call.Answer {
	r.updateRetryBudget(req)
	tracker := offers.New(req.route.Attempts, offers.Without(r.settings.Without))
	last := r.noInstanceAnswer(req)
	for tracker.CanRetry() {
		now := time.Now()
		if ctx.Err() != nil || !now.Before(req.deadline) {
			return deadlineAnswer(ctx, last)
		}
		if r.pastCutoff(now) {
			return lastingAnswer(last, call.Refuse(call.WouldOutlast, 0))
		}
		if tracker.Charged() && (req.shed.NoRetry || !r.retryBudget.Spend(req.service, req.priority, now)) {
			return last
		}
		candidates, excluded := tracker.Candidates(r.candidatesFor(req, tracker))
		inst, ok := r.pick(req, candidates, excluded, now)
		if !ok {
			return last
		}
		req.retry = req.retry || tracker.Delivered()
		redirectable := !tracker.Redirected() && r.balancer.HasOther(candidates, excluded, inst.ID, now)
		result := r.attempt(ctx, req, inst, redirectable)
		if result.suspect != 0 && req.suspect == 0 {
			req.suspect = result.suspect
			tracker.Defer()
			continue
		}
		if redirectable && result.redirected {
			tracker.Redirect(inst.ID)
		} else {
			tracker.Record(inst.ID, result.sendResult, result.arrived)
		}
		last = lastingAnswer(last, result.answer)
		if !r.mayRetry(req, result) {
			return last
		}
	}
	return last
}

// pick chooses the instance for the next attempt. All daemons choose the same one for content that runs on one instance at a time.
func (r *Router) pick(req *request, candidates []routing.Instance, excluded map[string]bool, now time.Time) (routing.Instance, bool) {
	if req.suspect != 0 {
		return choice.ByFingerprint(uint64(req.suspect), candidates, excluded)
	}
	return r.balancer.Pick(candidates, excluded, req.route.Name, req.deadline.Sub(now), now)
}

// noInstanceAnswer returns the response to a request if no instance can be sent it.
func (r *Router) noInstanceAnswer(req *request) call.Answer {
	view := r.view.Load()
	switch {
	case view.Drained(req.service):
		return call.Refuse(call.ZoneDrained, excludedRetryAfter)
	case len(view.InstancesOf(req.service)) > 0 && len(r.allowed(req, view.InstancesOf(req.service))) == 0:
		return call.Refuse(call.NoAllowedRegion, excludedRetryAfter)
	default:
		return call.Refuse(call.NoUpstream, noInstanceRetryAfter)
	}
}

// lastingAnswer returns the response after a further attempt. If an earlier instance has run the request or may have, it keeps that
// response over a refusal: otherwise the caller would wrongly learn that nothing was run.
func lastingAnswer(previous, next call.Answer) call.Answer {
	if previous.Outcome != call.NotRun && next.Outcome == call.NotRun {
		return previous
	}
	return next
}

// updateRetryBudget counts the request for its service: a first attempt earns budget, and a sub-call of a retry is charged to it, since
// another daemon decided on that retry.
func (r *Router) updateRetryBudget(req *request) {
	if req.retry {
		r.retryBudget.Charge(req.service, req.arrivedAt)
		return
	}
	r.retryBudget.Earn(req.service, req.arrivedAt)
}

// samplersOf returns the samplers of the large services.
func samplersOf(view *catalog.View, zone string) *map[string]*choice.Sampler {
	samplers := map[string]*choice.Sampler{}
	for service, instances := range view.ByService() {
		if sampler := choice.NewSampler(instances, zone); sampler != nil {
			samplers[service] = sampler
		}
	}
	return &samplers
}

// minSampledCandidates is how many of the sampled instances must remain for a choice among them.
const minSampledCandidates = 8

// candidatesFor returns the instances that may be sent the request. For a large service they are a sample at the first attempt; a later one
// depends on which instances were tried before, so it starts from all.
func (r *Router) candidatesFor(req *request, tracker *offers.Tracker) []routing.Instance {
	if sampler := (*r.samplers.Load())[req.service]; sampler != nil && !tracker.Started() && req.suspect == 0 {
		if candidates := r.available(r.staying(req, sampler.Draw())); len(candidates) >= minSampledCandidates {
			return candidates
		}
	}
	return r.candidates(req)
}

// candidates returns all instances that may be sent the request: those that aren't about to end, without those whose daemon is leaving or has
// missed heartbeats unless there are no others.
func (r *Router) candidates(req *request) []routing.Instance {
	staying := r.staying(req, r.view.Load().InstancesOf(req.service))
	if available := r.available(staying); len(available) > 0 {
		return available
	}
	return staying
}

// staying returns the instances in regions that are allowed for the request, without those that are about to end.
func (r *Router) staying(req *request, instances []routing.Instance) []routing.Instance {
	return r.told.staying(r.allowed(req, instances))
}

// available returns the instances whose daemon is not leaving and hasn't missed heartbeats.
func (r *Router) available(instances []routing.Instance) []routing.Instance {
	if !r.reporter.anyUnavailable() {
		return instances
	}
	available := make([]routing.Instance, 0, len(instances))
	for _, inst := range instances {
		if !r.reporter.unavailable(inst.Address.Addr()) {
			available = append(available, inst)
		}
	}
	return available
}

// allowed returns the instances in the regions in which the request may run.
func (r *Router) allowed(req *request, instances []routing.Instance) []routing.Instance {
	table := r.view.Load().Table
	if !table.Restricts(req.route.Name, req.organisation) {
		return instances
	}
	allowed := make([]routing.Instance, 0, len(instances))
	for _, inst := range instances {
		if table.Allows(req.route.Name, req.organisation, r.settings.Regions[inst.Zone]) {
			allowed = append(allowed, inst)
		}
	}
	return allowed
}

// mayRetry reports whether the request may be sent to another instance after this result.
//
// A request that may run only once is retried only if it provably did not run. An idempotent one is also retried after a lost response and
// after a failure, since an unhealthy instance may fail only some of its requests. After a failed sub-call it is not retried: another
// instance would make the same sub-calls, and the failed one has been retried already. A run that another daemon's shutdown ended is.
func (r *Router) mayRetry(req *request, result attemptResult) bool {
	switch result.answer.Outcome {
	case call.NotRun:
		return !slices.Contains(finalRefusals, result.answer.Reason)
	case call.Unknown:
		return req.route.Repeat == routing.Idempotent && result.answer.Reason == call.AnswerLost
	default:
		return req.route.Repeat == routing.Idempotent && (result.endedEarly || result.answer.Status == statusFailed &&
			(!result.subcallFailed || r.settings.Without.Has(mechanism.CallFailures)))
	}
}

// finalRefusals are the reasons for which no other instance runs a request that one hasn't run.
var finalRefusals = []call.Reason{call.Cancelled, call.DeadlineTooNear, call.Quarantined, call.Suspected}

// statusFailed is the HTTP status of an instance that failed; its timeouts and refusals have other statuses.
const statusFailed = 500

// deadlineAnswer returns the response to a request whose deadline passes, or that is cancelled, between two attempts.
func deadlineAnswer(ctx context.Context, last call.Answer) call.Answer {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && last.Outcome == call.NotRun:
		return call.Refuse(call.Cancelled, 0)
	case last.Outcome == call.NotRun:
		return call.Refuse(call.DeadlineTooNear, 0)
	default:
		return last
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer        call.Answer
	sendResult    choice.Result
	arrived       bool
	subcallFailed bool
	// endedEarly means that the daemon beside the instance is shutting down and gave the request less time than it has.
	endedEarly bool
	// redirected means that the instance is slow and the request goes to another one.
	redirected bool
	// suspect is the fingerprint of content that runs on one instance at a time, which is another one than this.
	suspect quarantine.Fingerprint
}

// attempt sends the request to the daemon on the instance's host, or runs it directly if that is this daemon. A redirectable request may be
// refused because the instance is slow.
func (r *Router) attempt(ctx context.Context, req *request, inst routing.Instance, redirectable bool) attemptResult {
	started := time.Now()
	req.active.attempt(req, inst, started)
	msg := r.message(req, inst, started)
	msg.Redirectable = redirectable
	var res runResult
	var err error
	switch peerAddress := r.peerOf(inst.Address.Addr()); {
	case peerAddress.Addr() == r.settings.Peers.Addr():
		// The request's own header is needed for further attempts.
		msg.Header = headerFields(req.header.Clone())
		res = r.executor.run(ctx, &msg)
	case msg.Idempotent:
		res, err = peer.CallUnlessSilent[runRequest, runResult](ctx, r.peers, peerAddress, peer.KindRun, msg)
	default:
		res, err = peer.Call[runRequest, runResult](ctx, r.peers, peerAddress, peer.KindRun, msg)
	}
	now := time.Now()
	if err != nil {
		res = resultOfError(ctx, err)
	} else {
		r.recordStatements(inst.Incarnation(), &res, now)
	}
	req.holds = append(req.holds, res.hold)
	answer := r.resultAnswer(ctx, req, inst, &res)
	result := sendResult(res, err)
	r.balancer.Record(inst, choice.Attempt{Route: req.route.Name, Result: result, Took: now.Sub(started), Waited: res.Waited, Load: res.Load}, now)
	req.attempts.add(inst, result, res, started.Sub(req.arrivedAt), now.Sub(started))
	req.observe(res)
	return attemptResult{answer: answer, sendResult: result, arrived: res.Arrived, subcallFailed: res.SubcallFailed, endedEarly: res.EndedEarly, redirected: res.redirects(), suspect: res.Suspect}
}

// resultAnswer returns the response that an attempt's result stands for, and makes a result that no caller may be sent a lost response. A
// daemon that says cancelled means an end on its own side: while the request's context goes on, its caller waits.
func (r *Router) resultAnswer(ctx context.Context, req *request, inst routing.Instance, res *runResult) call.Answer {
	answer := res.answer()
	if found := r.defectOf(req, answer); found != sound {
		r.reportDefect(req, answer, found, inst.ID)
		res.lose(call.AnswerLost)
		return res.answer()
	}
	if answer.Reason == call.Cancelled && ctx.Err() == nil {
		return cancelledElsewhere(answer)
	}
	return answer
}

// cancelledElsewhere returns the response to a request that another daemon cancelled although its caller waits.
func cancelledElsewhere(answer call.Answer) call.Answer {
	if answer.Outcome == call.NotRun {
		return call.Refuse(call.NoUpstream, noInstanceRetryAfter)
	}
	return call.UnknownOutcome(call.AnswerLost)
}

// recordStatements takes over what a result says of its instance. Other daemons hear early of an instance that is about to end.
func (r *Router) recordStatements(of routing.Incarnation, res *runResult, now time.Time) {
	if r.told.record(of, res, now) {
		r.log.WithFields(logrus.Fields{"instance": of.ID}).Info("instance no longer used")
		r.reporter.triggerEarly(now)
	}
}

// observe records the saturation that one attempt's result reports.
func (req *request) observe(res runResult) {
	req.saturation = max(req.saturation, res.Saturation)
	req.subcallRefused = res.SubcallRefused || res.Reason.Overload()
}

// peerOf returns the address on which the daemon on a host listens for other daemons.
func (r *Router) peerOf(host netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(host, r.settings.Peers.Port())
}

func (r *Router) message(req *request, inst routing.Instance, now time.Time) runRequest {
	return runRequest{
		RequestID: req.id, Instance: inst.Incarnation(), Route: req.route.Name, Root: req.root, CallerService: r.settings.Service, Organisation: req.organisation,
		Method: req.method, Target: req.target, HTTPHost: req.httpHost, Header: headerFields(req.header), Body: req.body,
		Remaining: req.deadline.Sub(now), Priority: req.priority, Idempotent: req.route.Repeat == routing.Idempotent,
		Subcall: req.subcall, Retry: req.retry, Exclusive: req.suspect != 0, RateLimit: r.told.limit(inst.Incarnation()), FinishIn: r.finishIn(now),
	}
}

// resultOfError converts an error in the exchange with another daemon. The request counts as not run only if it was not sent completely.
func resultOfError(ctx context.Context, err error) runResult {
	var answer call.Answer
	switch {
	case errors.Is(err, peer.ErrNotSent) && errors.Is(ctx.Err(), context.Canceled):
		answer = call.Refuse(call.Cancelled, 0)
	case errors.Is(err, peer.ErrNoRoom):
		answer = call.Refuse(call.NoRoom, noRoomRetryAfter)
	case errors.Is(err, peer.ErrNotSent):
		answer = call.Refuse(call.NoUpstream, noInstanceRetryAfter)
	case errors.Is(err, context.Canceled):
		answer = call.UnknownOutcome(call.Cancelled)
	case errors.Is(err, context.DeadlineExceeded):
		answer = call.UnknownOutcome(call.TimedOut)
	default:
		answer = call.UnknownOutcome(call.AnswerLost)
	}
	return runResult{Outcome: answer.Outcome, Reason: answer.Reason, Status: answer.Status, RetryAfter: answer.RetryAfter, Arrived: answer.Outcome != call.NotRun}
}

// sendResult converts the result of an attempt to what it says about the instance, for the balancer.
func sendResult(res runResult, err error) choice.Result {
	switch {
	case res.Reason == call.NoRoom:
		// It says nothing about the instance, which small requests may go on to use.
		return choice.Withdrawn
	case err != nil && res.Outcome == call.NotRun && res.Reason != call.Cancelled:
		return choice.Unreachable
	case res.Outcome == call.Whole && res.Status >= statusFailed && (res.SubcallFailed || res.EndedEarly):
		// Without this, failures of services further down, and shutdowns of the daemons beside them, would drive requests away from healthy instances.
		return choice.Withdrawn
	case res.Outcome == call.Whole && res.Status >= statusFailed:
		return choice.Failed
	case res.Outcome == call.Whole:
		return choice.Served
	}
	switch res.Reason {
	case call.NoUpstream, call.Draining, call.ZoneDrained, call.NotReady, call.NoAllowedRegion:
		return choice.Unreachable
	case call.UpstreamShed:
		return choice.Declined
	case call.Overloaded, call.DeadlineTooNear, call.WarmingUp, call.UpstreamLimited:
		return choice.Refused
	case call.AnswerLost, call.TimedOut:
		return choice.Lost
	default:
		return choice.Withdrawn
	}
}
