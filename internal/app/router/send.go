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

// execute sends the request to the instance.
func (o *executor) execute(ctx context.Context, m *runRequest, deadline time.Time) runResult {
	header := m.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	now := time.Now()
	o.heads.Forward(header, Forwarded{
		RequestID: m.RequestID, Timeout: deadline.Sub(now), Instance: m.Instance.ID, Organisation: m.Organisation, CallerService: m.CallerService,
	})
	run := &lineage.Run{Route: m.Route, Root: m.Root, Priority: m.Priority, Retry: m.Repeat}
	o.runs.Begin(run, now.Add(deadline.Sub(now).Truncate(time.Millisecond)))
	out := o.send(ctx, m, header, deadline)
	o.runs.End(run, out.Outcome == call.Whole && out.Status < statusFailed)
	out.Saturation, out.CallRefused = run.Saturation()
	out.CallFailed = out.Status >= statusFailed && o.runs.CausedByCall(run, time.Now())
	return out
}

func (o *executor) send(ctx context.Context, m *runRequest, header http.Header, deadline time.Time) runResult {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	res, err := o.instance.Do(ctx, &instance.Request{
		Method: m.Method, Target: m.Target, Host: m.HTTPHost, Header: header, Body: m.Body, Deadline: deadline, Repeatable: m.Idempotent,
		Answers: func(h http.Header) bool {
			id := o.heads.Answer(http.StatusOK, h).RequestID
			return id == "" || id == m.RequestID
		},
	})
	if err != nil {
		return o.failed(ctx, err)
	}
	return o.read(res)
}

// failed tells what an error says of the request: not run only where no byte of it left.
func (o *executor) failed(ctx context.Context, err error) runResult {
	cancelled := errors.Is(context.Cause(ctx), context.Canceled)
	overdue := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	if errors.Is(err, instance.ErrUnsent) {
		reason := call.NoUpstream
		switch {
		case cancelled:
			reason = call.Cancelled
		case overdue:
			reason = call.DeadlineTooNear
		}
		return refused(call.Refuse(reason, goneWait), call.Load{})
	}
	reason := call.AnswerLost
	switch {
	case cancelled:
		reason = call.Cancelled
	case overdue:
		reason = call.TimedOut
	}
	lost := call.UnknownOutcome(reason)
	return runResult{Outcome: lost.Outcome, Reason: lost.Reason, Status: lost.Status, Arrived: true}
}

// read takes the instance's answer as it is, unless it can't be the instance's own whole answer.
func (o *executor) read(res instance.Response) runResult {
	head := o.heads.Answer(res.Status, res.Header)
	if head.NotRun {
		a := call.Refuse(call.UpstreamShed, shedWait)
		return runResult{Outcome: a.Outcome, Reason: a.Reason, Status: a.Status, RetryAfter: a.RetryAfter, Arrived: true}
	}
	if head.Encoded || !head.Authentic && res.Status < http.StatusBadRequest {
		lost := call.UnknownOutcome(call.AnswerLost)
		return runResult{Outcome: lost.Outcome, Reason: lost.Reason, Status: lost.Status, Arrived: true}
	}
	return runResult{Outcome: call.Whole, Status: res.Status, Header: res.Header, Body: res.Body, Arrived: true}
}

// shedWait is when to come back to a service whose instances turn requests away: some requests have ended by then.
const shedWait = 250 * time.Millisecond

// result tells the gate how a run ended.
func result(out runResult, took time.Duration) admission.Result {
	r := admission.Result{Own: took}
	switch {
	case out.Reason == call.UpstreamShed:
		r.Shed = true
	case out.Outcome != call.Whole && out.Reason != call.AnswerLost:
		r.Withdrawn = true
	}
	return r
}
