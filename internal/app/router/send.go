package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/instance"
)

// execute sends the request to the instance; it changes the request's header.
func (e *executor) execute(ctx context.Context, req *runRequest, ticket *admission.Ticket) runResult {
	header := http.Header(req.Header)
	if header == nil {
		header = http.Header{}
	}
	now := time.Now()
	timeout := instanceDeadline(ticket).Sub(now)
	e.heads.Forward(header, Forwarded{
		RequestID: req.RequestID, Timeout: timeout, Instance: req.Instance.ID, Organisation: req.Organisation, CallerService: req.CallerService,
	})
	run := &lineage.Run{Route: req.Route, Root: req.Root, Priority: req.Priority, Retry: req.Retry}
	e.runs.Begin(run, now.Add(timeout.Truncate(time.Millisecond)))
	e.crashes.Begin(req)
	res := e.send(ctx, req, header, ticket.Deadline)
	e.crashes.End(req, res.abandoned())
	e.runs.End(run, res.Outcome == call.Whole && res.Status < statusFailed)
	res.Saturation, res.SubcallRefused = run.Saturation()
	res.SubcallFailed = res.Status >= statusFailed && e.runs.CausedByCall(run, time.Now())
	return res
}

func (e *executor) send(ctx context.Context, req *runRequest, header http.Header, deadline time.Time) runResult {
	began := time.Now()
	resp, err := e.instance.Do(ctx, &instance.Request{
		Method: req.Method, Target: req.Target, Host: req.HTTPHost, Header: header, Body: req.Body, Deadline: deadline, Idempotent: req.Idempotent,
		ID: req.RequestID, To: req.receiver,
		IDOf:    func(h http.Header) string { return e.heads.Answer(http.StatusOK, h).RequestID },
		Observe: func(status int, h http.Header) { e.observe(req.Instance, req.RequestID, status, h) },
	})
	if err != nil {
		res := e.errorResult(ctx, err, deadline)
		if res.Reason == call.AnswerLost && instance.IsDisconnect(err) {
			res.Crashed = e.crashes.Lost(ctx, began)
		}
		return res
	}
	res := e.responseResult(req, resp)
	if res.Outcome != call.Whole {
		resp.Hold.Release()
		return res
	}
	res.hold = resp.Hold
	return res
}

// abandoned reports whether the instance may still be at work on the request although nobody waits for the response.
func (res *runResult) abandoned() bool {
	return res.Outcome == call.Unknown && (res.Reason == call.Cancelled || res.Reason == call.TimedOut)
}

// errorResult converts an error of the instance's client. The request counts as not run only if no byte of it was sent.
func (e *executor) errorResult(ctx context.Context, err error, deadline time.Time) runResult {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	deadlinePassed := !time.Now().Before(deadline)
	if errors.Is(err, instance.ErrUnsent) {
		reason := call.NoUpstream
		switch {
		case cancelled:
			reason = call.Cancelled
		case deadlinePassed:
			reason = call.DeadlineTooNear
		}
		return refusedResult(call.Refuse(reason, unreachableRetryAfter), call.Load{})
	}
	reason := call.AnswerLost
	switch {
	case cancelled:
		reason = call.Cancelled
	case deadlinePassed:
		reason = call.TimedOut
	}
	lost := call.UnknownOutcome(reason)
	return runResult{Outcome: lost.Outcome, Reason: lost.Reason, Status: lost.Status, Arrived: true}
}

// responseResult returns the instance's response as it is, unless it can't be the instance's own complete response.
func (e *executor) responseResult(req *runRequest, resp instance.Response) runResult {
	head := e.heads.Answer(resp.Status, resp.Header)
	if head.NotRun {
		answer := call.Refuse(call.UpstreamShed, declinedRetryAfter)
		return runResult{Outcome: answer.Outcome, Reason: answer.Reason, Status: answer.Status, RetryAfter: answer.RetryAfter, Arrived: true}
	}
	own := head.Authentic && head.RequestID == req.RequestID
	if head.Encoded || !own && resp.Status < http.StatusBadRequest {
		lost := call.UnknownOutcome(call.AnswerLost)
		return runResult{Outcome: lost.Outcome, Reason: lost.Reason, Status: lost.Status, Arrived: true}
	}
	return runResult{Outcome: call.Whole, Status: resp.Status, Header: headerFields(resp.Header), Body: resp.Body, Arrived: true}
}

// declinedRetryAfter is the Retry-After of a service whose instances decline requests: several requests have ended by then.
const declinedRetryAfter = 250 * time.Millisecond

// gateResult converts the result of a run for the gate.
func gateResult(res runResult, took time.Duration) admission.Result {
	result := admission.Result{Own: took}
	switch {
	case res.Reason == call.UpstreamShed:
		result.Shed = true
	case res.Outcome != call.Whole && res.Reason != call.AnswerLost:
		result.Withdrawn = true
	}
	return result
}
