package daemon

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// executor runs requests on the local upstream, up to the concurrency limit of its gate.
type executor struct {
	gate     *admission.Gate
	upstream *upstream.Client
	runs     *activeRuns
	// subCallNeeds is the budget that the upstream's sub-calls are expected to need, by operation.
	subCallNeeds *budget.Needs
	// crashed receives what was at work at a crash.
	crashed func([]crash.Suspect)
	// crashes finds crashes of the upstream, and quarantine counts those of all upstreams of the service by what was at work.
	crashes    *crash.Detector[*call.Request]
	quarantine *quarantine.Table
	// locks let content under which upstreams have crashed run one request at a time.
	locks quarantine.Locks
	// ending is that of the daemon; nil means that it never leaves.
	ending *ending
}

func newExecutor(s settings.Settings, u *upstream.Client) *executor {
	gate := admission.New(
		limit.New(s.Limit, s.Slots),
		admission.WithQueue(queue.New[*admission.Ticket](s.Queue)),
		admission.WithWait(s.QueueTime),
		admission.WithLength(s.QueueLength),
	)
	e := &executor{gate: gate, upstream: u, runs: newActiveRuns(), subCallNeeds: budget.NewNeeds(), quarantine: quarantine.NewTable(), crashed: func([]crash.Suspect) {}}
	e.crashes = crash.NewDetector(u.Refuses, e.suspect, func(suspects []crash.Suspect) { e.crashed(suspects) })
	return e
}

// suspect returns the request as one that was at work at a crash.
func (e *executor) suspect(r *call.Request) crash.Suspect {
	return crash.SuspectOf(e.quarantine, r.ID, contentOf(r))
}

// run runs the request, or refuses it before the upstream has seen it. After the wait in the queue it checks the caller's
// key once more. The run must have ended by finishBy, unless that is zero, and by the cutoff if the daemon is leaving.
func (e *executor) run(ctx context.Context, r *call.Request, finishBy time.Time, check keyCheck) call.Answer {
	ctx, cancel := e.ending.bound(ctx)
	defer cancel()
	end, refusal, ok := e.screen(ctx, r)
	if !ok {
		return e.refuse(r, refusal)
	}
	defer end()
	for {
		cutoff := e.ending.cutoff()
		ticket := &admission.Ticket{
			Organisation: r.Organisation, Operation: r.Operation, Weight: r.Weight, Priority: r.Priority,
			Deadline: r.Deadline.Add(-refusalTime(r.Remaining(time.Now()))),
			FinishBy: earlierBound(finishBy, cutoff),
		}
		if decision := e.gate.Enter(ctx, ticket); decision.Verdict != admission.Run {
			return e.refuse(r, decision)
		}
		if reason := check.run(ctx); reason != call.None {
			e.gate.Settle(time.Now(), ticket, admission.Result{Withdrawn: true})
			return e.refuse(r, admission.Decision{Reason: reason, RetryAfter: refuseKey(reason).RetryAfter})
		}
		if verdict := e.quarantine.Check(contentOf(r), time.Now()); verdict.Refused {
			e.gate.Settle(time.Now(), ticket, admission.Result{Withdrawn: true})
			return e.refuse(r, admission.Decision{Reason: call.Quarantined, RetryAfter: verdict.RetryAfter})
		}
		if e.ending.cutoff().Equal(cutoff) {
			r.Deadline = earlierBound(r.Deadline, runLimit(r, finishBy, cutoff))
			return e.execute(ctx, r, ticket)
		}
		// The daemon began to leave while the request waited, and the gate hasn't compared the run with the time left.
		e.gate.Settle(time.Now(), ticket, admission.Result{Withdrawn: true})
	}
}

// runLimit returns when a run that lasts longer than expected is ended, or zero. The run of a request with an idempotency key goes on after
// a daemon on its way has ended: the key's holder keeps the response, and the caller may retry with the key to get it.
func runLimit(r *call.Request, finishBy, cutoff time.Time) time.Time {
	if r.IdempotencyKey != "" && !r.Idempotent {
		return cutoff
	}
	return earlierBound(finishBy, cutoff)
}

// maxRefusalTime bounds the time reserved for a refusal.
const maxRefusalTime = 20 * time.Millisecond

// refusalTime returns how long before the deadline a queued request must be refused, so that the refusal arrives in time.
//
// On hosts so busy that requests wait, goroutines wait for a processor too. Without this reserve, a request refused in
// its last milliseconds would be reported as having an unknown outcome by the daemon that forwarded it, and its caller
// would look for the effects of a request that never ran.
func refusalTime(remaining time.Duration) time.Duration { return reserve(remaining, maxRefusalTime) }

func (e *executor) refuse(r *call.Request, decision admission.Decision) call.Answer {
	answer := call.Refuse(decision.Reason, decision.RetryAfter)
	answer.BudgetLeft = r.Budget
	answer.Load = e.gate.Load()
	return answer
}

// execute runs an admitted request and settles the gate whatever the outcome.
func (e *executor) execute(ctx context.Context, r *call.Request, ticket *admission.Ticket) call.Answer {
	granted := r.Budget - 1
	account := budget.NewFor(granted, e.subCallNeeds.Expect(r.Operation, r.Depth+1))
	token, run := e.runs.add(r, account)
	started := time.Now()
	answer := e.runOnUpstream(ctx, r, token)
	e.runs.remove(token)
	now := time.Now()
	waited, subCallPressure := run.waited(now)
	e.gate.Settle(now, ticket, gateResult(answer, max(now.Sub(started)-waited, 0)))
	if answer.Reason == call.Cancelled && endedByCutoff(ctx) {
		answer = cutoffAnswer(answer)
	}
	left := account.Close()
	if answer.Outcome == call.Whole {
		e.subCallNeeds.Learn(r.Operation, granted, granted-left, answer.Status < minFaultStatus)
	}
	answer = checkNotRun(r, answer, left)
	answer.Load = e.gate.Load()
	if answer.Status >= minFaultStatus {
		answer.Load.Pressure = subCallPressure
	}
	return answer
}

// gateResult classifies a run for the concurrency limit. A caller that disconnected, or an upstream that could not be
// reached, is no evidence of how many requests the upstream can run at once.
func gateResult(a call.Answer, ownTime time.Duration) admission.Result {
	result := admission.Result{Own: ownTime}
	switch {
	case a.Reason == call.UpstreamShed:
		result.Shed = true
	case a.Outcome != call.Whole && a.Reason != call.AnswerLost:
		result.Withdrawn = true
	}
	return result
}

// checkNotRun accepts an upstream's claim that it did not run a request only if the request's sub-calls have spent
// nothing. An upstream may pass on the refusal of a later sub-call although an earlier one ran; if the claim were
// believed, the caller would send the request again and, for instance, pay twice.
func checkNotRun(r *call.Request, a call.Answer, left int) call.Answer {
	granted := r.Budget - 1
	if a.Outcome == call.NotRun && left < granted {
		a = call.UnknownOutcome(call.AnswerLost)
	}
	a.BudgetLeft = left
	if a.Outcome == call.NotRun {
		a.BudgetLeft++
	}
	return a
}
