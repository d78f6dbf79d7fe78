package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/offers"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// noInstanceWait is when to come back to a service without any instance that can be reached: a started one is listed within seconds.
const noInstanceWait = 500 * time.Millisecond

// place offers the request to instances of its service until one has run it or may have, or nothing is left to try.
func (r *Router) place(ctx context.Context, q *request) call.Answer {
	r.account(q)
	course := offers.New(q.route.Attempts, offers.Without(r.settings.Without))
	last := call.Refuse(call.NoUpstream, noInstanceWait)
	for course.CanRetry() {
		now := time.Now()
		if ctx.Err() != nil || !now.Before(q.deadline) {
			return overdue(ctx, last)
		}
		if course.Delivered() && !r.repeats.Spend(q.service, q.priority, now) {
			return last
		}
		from, behind := course.Candidates(r.candidates(q.service))
		i, ok := r.chooser.Pick(from, behind, q.deadline.Sub(now), now)
		if !ok {
			return last
		}
		q.repeat = q.repeat || course.Delivered()
		done := r.offer(ctx, q, i)
		course.Record(i.ID, done.ending, done.arrived)
		last = final(last, done.answer)
		if !r.goesOn(q, done) {
			return last
		}
	}
	return last
}

// final is the answer after a further offer. Where an earlier instance has run the request or may have, one that declines it changes
// nothing: passed on, its caller would be told that nothing was run.
func final(before, next call.Answer) call.Answer {
	if before.Outcome != call.NotRun && next.Outcome == call.NotRun {
		return before
	}
	return next
}

// account counts the request for its service: as one that repeats are earned with, or as a repeat that was decided on elsewhere.
func (r *Router) account(q *request) {
	if q.repeat {
		r.repeats.Charge(q.service, q.begun)
		return
	}
	r.repeats.Earn(q.service, q.begun)
}

// candidates returns the service's instances without those whose daemon leaves or is silent, unless there are no others.
func (r *Router) candidates(service string) []routing.Instance {
	all := r.view.Load().InstancesOf(service)
	staying := make([]routing.Instance, 0, len(all))
	for _, i := range all {
		if !r.beats.away(i.Address.Addr()) {
			staying = append(staying, i)
		}
	}
	if len(staying) == 0 {
		return all
	}
	return staying
}

// goesOn reports whether the request may be offered to another instance after this ending.
//
// Only proof that it did not run lets a request go on that may run once. One that may run again goes on after
// a lost answer and after a failure, which an instance that is only half well gives to part of its requests. Where a call of its
// run has failed, another instance would make the same calls, and what failed there has been repeated already.
func (r *Router) goesOn(q *request, d offered) bool {
	switch d.answer.Outcome {
	case call.NotRun:
		return d.answer.Reason != call.Cancelled && d.answer.Reason != call.DeadlineTooNear
	case call.Unknown:
		return q.route.Repeat == routing.Idempotent && d.answer.Reason == call.AnswerLost
	default:
		return q.route.Repeat == routing.Idempotent && d.answer.Status == statusFailed &&
			(!d.callFailed || r.settings.Without.Has(mechanism.CallFailures))
	}
}

// statusFailed is the status of an instance that failed; its timeouts and refusals have others.
const statusFailed = 500

// overdue is the answer to a request whose time is up between two offers.
func overdue(ctx context.Context, last call.Answer) call.Answer {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && last.Outcome == call.NotRun:
		return call.Refuse(call.Cancelled, 0)
	case last.Outcome == call.NotRun:
		return call.Refuse(call.DeadlineTooNear, 0)
	default:
		return last
	}
}

// offered is how an offer to one instance ended.
type offered struct {
	answer     call.Answer
	ending     choice.Result
	arrived    bool
	callFailed bool
}

// offer hands the request to the daemon beside the instance, or runs it here where that is this one.
func (r *Router) offer(ctx context.Context, q *request, i routing.Instance) offered {
	begun := time.Now()
	m := r.message(q, i, begun)
	var back runResult
	var err error
	switch to := r.peerOf(i.Address.Addr()); {
	case to.Addr() == r.settings.Peers.Addr():
		back = r.owner.run(ctx, &m)
	case m.Idempotent:
		back, err = peer.CallUnlessSilent[runRequest, runResult](ctx, r.peers, to, peer.KindRun, m)
	default:
		back, err = peer.Call[runRequest, runResult](ctx, r.peers, to, peer.KindRun, m)
	}
	now := time.Now()
	if err != nil {
		back = unanswered(ctx, err)
	}
	e := ending(back, err)
	r.chooser.Record(i, e, now.Sub(begun), back.Load, now)
	q.trail.add(i, e, back, now.Sub(begun))
	q.meet(back)
	return offered{
		answer: call.Answer{
			Outcome: back.Outcome, Reason: back.Reason, Status: back.Status, Header: back.Header, Body: back.Body, RetryAfter: back.RetryAfter,
		},
		ending: e, arrived: back.Arrived, callFailed: back.CallFailed,
	}
}

// meet takes in how full the services were that the request has met at one instance.
func (q *request) meet(back runResult) {
	q.fullness = max(q.fullness, back.Saturation)
	q.callRefused = back.CallRefused || back.Reason.Overload()
}

// peerOf returns where the daemon on a host listens.
func (r *Router) peerOf(host netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(host, r.settings.Peers.Port())
}

func (r *Router) message(q *request, i routing.Instance, now time.Time) runRequest {
	return runRequest{
		RequestID: q.id, Instance: i.Incarnation(), Route: q.route.Name, Root: q.root, CallerService: r.settings.Service, Organisation: q.organisation,
		Method: q.method, Target: q.target, HTTPHost: q.httpHost, Header: q.header, Body: q.body,
		Remaining: q.deadline.Sub(now), Priority: q.priority, Idempotent: q.route.Repeat == routing.Idempotent,
		Nested: q.nested, Repeat: q.repeat,
	}
}

// unanswered is what an error of the way to another daemon says of the request: not run only where it did not leave whole.
func unanswered(ctx context.Context, err error) runResult {
	var a call.Answer
	switch {
	case errors.Is(err, peer.ErrNotSent) && errors.Is(ctx.Err(), context.Canceled):
		a = call.Refuse(call.Cancelled, 0)
	case errors.Is(err, peer.ErrNotSent):
		a = call.Refuse(call.NoUpstream, noInstanceWait)
	case errors.Is(err, context.Canceled):
		a = call.UnknownOutcome(call.Cancelled)
	case errors.Is(err, context.DeadlineExceeded):
		a = call.UnknownOutcome(call.TimedOut)
	default:
		a = call.UnknownOutcome(call.AnswerLost)
	}
	return runResult{Outcome: a.Outcome, Reason: a.Reason, Status: a.Status, RetryAfter: a.RetryAfter, Arrived: a.Outcome != call.NotRun}
}

// ending tells the chooser what the end of an offer says of the instance.
func ending(back runResult, err error) choice.Result {
	switch {
	case err != nil && back.Outcome == call.NotRun && back.Reason != call.Cancelled:
		return choice.Unreachable
	case back.Outcome == call.Whole && back.Status >= statusFailed && back.CallFailed:
		// Held against the instance, failures deep down would drive work away from those that are well.
		return choice.Withdrawn
	case back.Outcome == call.Whole && back.Status >= statusFailed:
		return choice.Failed
	case back.Outcome == call.Whole:
		return choice.Served
	}
	switch back.Reason {
	case call.NoUpstream, call.Draining:
		return choice.Unreachable
	case call.UpstreamShed:
		return choice.Declined
	case call.Overloaded, call.DeadlineTooNear:
		return choice.Refused
	case call.AnswerLost, call.TimedOut:
		return choice.Lost
	default:
		return choice.Withdrawn
	}
}
