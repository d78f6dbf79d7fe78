package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// attemptsPerHop is the maximum number of hosts tried by one hop; the request's budget limits all hops together.
const attemptsPerHop = 3

// dispatch sends the request to a host of its service and reports the outcome to the level above: the throttle that
// admitted a caller's request, or the run that made this sub-call.
func (d *Daemon) dispatch(ctx context.Context, a admittedRequest) call.Answer {
	if a.parent != nil {
		a.parent.callStarted(time.Now())
	}
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	answer := d.sendWithRetries(ctx, a)
	if answer.Reason.Overload() || answer.Reason == call.AnswerLost && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		answer.Load.Pressure = 1
	}
	switch {
	case a.parent != nil:
		a.parent.callEnded(time.Now(), answer.Load.Pressure)
	case answer.Reason != call.Cancelled:
		d.throttles.Observe(time.Now(), a.request.Organisation, a.request.Operation, answer.Load.Pressure, answer.RetryAfter)
	}
	return answer
}

// sendWithRetries retries the request on another host only if it certainly did not run for a temporary reason, or if its
// response was lost and the operation is idempotent.
func (d *Daemon) sendWithRetries(ctx context.Context, a admittedRequest) call.Answer {
	tried := make([]string, 0, attemptsPerHop)
	answer := call.Refuse(call.NoUpstream, time.Second)
	mayHaveRun := false
	for len(tried) < attemptsPerHop {
		if reason := a.keyCheck.run(ctx); reason != call.None {
			answer = refuseKey(reason)
			break
		}
		next, host, ok := d.attempt(ctx, a, tried)
		if !ok {
			if len(tried) == 0 {
				d.logPlacing(&a.request, lists.Host{}, 0, answer, time.Now())
			}
			break
		}
		tried = append(tried, host)
		answer = next
		mayHaveRun = mayHaveRun || next.Outcome == call.Unknown
		if !retryable(a.request, next) || ctx.Err() != nil {
			break
		}
	}
	// A refusal after a lost response must not claim that the request did not run.
	if mayHaveRun && answer.Outcome == call.NotRun {
		answer = call.UnknownOutcome(call.AnswerLost)
	}
	answer.BudgetLeft = a.account.Left()
	return answer
}

func retryable(r call.Request, a call.Answer) bool {
	switch a.Outcome {
	case call.NotRun:
		// Other hosts may not know yet that the content has crashed several upstreams.
		return a.Reason.Temporary() && a.Reason != call.Quarantined
	case call.Unknown:
		return r.Idempotent
	default:
		return false
	}
}

// attempt sends the request to a host that was not tried before, and returns the response and the host's name; false
// means that there is no such host.
func (d *Daemon) attempt(ctx context.Context, a admittedRequest, tried []string) (call.Answer, string, bool) {
	r, started := a.request, time.Now()
	if r.Budget = d.drawBudget(ctx, a); r.Budget == 0 {
		refusal := noBudgetRefusal(ctx)
		d.logPlacing(&r, lists.Host{}, len(tried), refusal, started)
		return refusal, "", true
	}
	started = time.Now()
	choice, ok := d.placer.Pick(started, r.Service, d.candidates(r.Service), tried)
	if !ok {
		a.account.Settle(r.Budget, r.Budget)
		return call.Answer{}, "", false
	}
	host := choice.Host
	answer := d.send(ctx, host, &r, earlierBound(a.finishBy, d.ending.cutoff()), a.keyCheck)
	d.checkAnswer(host.Host, answer)
	now := time.Now()
	d.placer.Settle(now, choice, r.Operation, placingResult(answer), answer.Load)
	a.account.Settle(r.Budget, answer.BudgetLeft)
	if answer.Outcome == call.Whole {
		d.runNeeds.Learn(r.Operation, r.Budget, r.Budget-answer.BudgetLeft, answer.Status < minFaultStatus)
	}
	d.logPlacing(&r, host, len(tried), answer, started)
	return answer, host.Host, true
}

// logPlacing logs one load-balancing decision and its outcome; host is empty if none was chosen.
func (d *Daemon) logPlacing(r *call.Request, host lists.Host, tried int, answer call.Answer, started time.Time) {
	d.log.WithFields(logrus.Fields{
		"decision": "place", "requestId": r.ID, "organisation": r.Organisation, "operation": r.Operation,
		"service": r.Service, "host": host.Host, "zone": host.Zone, "attempt": tried + 1, "depth": r.Depth, "budget": r.Budget,
		"outcome": answer.Outcome.String(), "reason": answer.Reason.String(), "durationUs": time.Since(started).Microseconds(),
	}).Info("route")
}

// noBudgetRefusal is the response for an attempt without budget, which may have waited for budget until the deadline.
func noBudgetRefusal(ctx context.Context) call.Answer {
	if ctx.Err() != nil {
		return call.Refuse(call.DeadlineTooNear, 0)
	}
	return call.Refuse(call.BudgetSpent, 0)
}

// drawBudget draws the attempt's budget from the request's account. If parallel sub-calls hold what is missing, it
// waits for them; 0 means that no budget is left.
func (d *Daemon) drawBudget(ctx context.Context, a admittedRequest) int {
	for {
		runs, wait := a.account.Draw(d.runNeeds.Expect(a.request.Operation, a.request.Depth))
		if wait == nil {
			return runs
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return 0
		}
	}
}

// minFaultStatus is the lowest HTTP status code that reports a fault of the upstream.
const minFaultStatus = 500

// placingResult classifies a response by what it shows about the host that sent it.
func placingResult(a call.Answer) placing.Result {
	switch {
	case a.Outcome == call.Whole && a.Status < minFaultStatus:
		return placing.Served
	case a.Outcome == call.Whole && a.Load.Pressure > 0:
		return placing.Inconclusive
	case a.Outcome == call.Whole:
		return placing.UpstreamFailed
	case a.Reason.Overload():
		return placing.Declined
	case a.Reason == call.NoUpstream, a.Reason == call.Draining, a.Reason == call.AnswerLost:
		return placing.NoResponse
	default:
		return placing.Inconclusive
	}
}

// send runs the request on the local upstream or forwards it to the daemon on the chosen host; finishBy is as for executor.run.
func (d *Daemon) send(ctx context.Context, host lists.Host, r *call.Request, finishBy time.Time, check keyCheck) call.Answer {
	if host.Host == d.settings.Host {
		return d.executor.run(ctx, r, finishBy, check)
	}
	reply, err := d.forward(ctx, peer.KindCall, host, r, finishBy, check)
	if err == nil {
		return reply.decision(ctx)
	}
	return d.forwardingFailure(r, err)
}

// forwardingFailure returns the response to a request whose forwarding to another daemon failed.
func (d *Daemon) forwardingFailure(r *call.Request, err error) call.Answer {
	switch {
	case errors.Is(err, peer.ErrNoRoom):
		return bodyMemoryRefusal(r)
	case errors.Is(err, peer.ErrNotSent):
		refusal := call.Refuse(call.NoUpstream, time.Second)
		refusal.BudgetLeft = r.Budget
		return refusal
	case errors.Is(err, context.Canceled):
		return call.UnknownOutcome(call.Cancelled)
	default:
		return call.UnknownOutcome(call.AnswerLost)
	}
}
