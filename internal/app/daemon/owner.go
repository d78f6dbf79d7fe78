package daemon

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
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
}

func newExecutor(s settings.Settings, u *upstream.Client) *executor {
	gate := admission.New(
		limit.New(s.Limit, s.Slots),
		admission.WithQueue(queue.New[*admission.Ticket](s.Queue)),
		admission.WithWait(s.QueueTime),
		admission.WithLength(s.QueueLength),
	)
	return &executor{gate: gate, upstream: u, runs: newActiveRuns(), subCallNeeds: budget.NewNeeds()}
}

// run runs the request, or refuses it before the upstream has seen it. After the wait in the queue it calls keyValid
// and refuses the request if that returns false; nil means that no check is needed.
func (o *executor) run(ctx context.Context, r *call.Request, keyValid func() bool) call.Answer {
	t := &admission.Ticket{
		Organisation: r.Organisation, Operation: r.Operation, Weight: r.Weight, Priority: r.Priority,
		Deadline: r.Deadline.Add(-refusalTime(r.Remaining(time.Now()))),
	}
	if d := o.gate.Enter(ctx, t); d.Verdict != admission.Run {
		return o.refuse(r, d)
	}
	if keyValid != nil && !keyValid() {
		o.gate.Settle(time.Now(), t, admission.Result{Withdrawn: true})
		return o.refuse(r, admission.Decision{Reason: call.UnknownKey})
	}
	return o.execute(ctx, r, t)
}

const maxRefusalTime = 20 * time.Millisecond

// refusalTime returns how long before the deadline a queued request must be refused, so that the refusal arrives in time.
//
// On hosts so busy that requests wait, goroutines wait for a processor too. Without this reserve, a request refused in
// its last milliseconds would be reported as having an unknown outcome by the daemon that forwarded it, and its caller
// would look for the effects of a request that never ran.
func refusalTime(remaining time.Duration) time.Duration { return reserve(remaining, maxRefusalTime) }

func (o *executor) refuse(r *call.Request, d admission.Decision) call.Answer {
	answer := call.Refuse(d.Reason, d.RetryAfter)
	answer.BudgetLeft = r.Budget
	answer.Load = o.gate.Load()
	return answer
}

// execute runs an admitted request and settles the gate whatever the outcome.
func (o *executor) execute(ctx context.Context, r *call.Request, t *admission.Ticket) call.Answer {
	granted := r.Budget - 1
	account := budget.NewFor(granted, o.subCallNeeds.Expect(r.Operation, r.Depth+1))
	token, run := o.runs.add(r, account)
	started := time.Now()
	answer := o.upstream.Do(ctx, r, token)
	o.runs.remove(token)
	now := time.Now()
	waited, subCallPressure := run.waited(now)
	o.gate.Settle(now, t, gateResult(answer, max(now.Sub(started)-waited, 0)))
	left := account.Close()
	if answer.Outcome == call.Whole {
		o.subCallNeeds.Learn(r.Operation, granted, granted-left, answer.Status < minFaultStatus)
	}
	answer = checkNotRun(r, answer, left)
	answer.Load = o.gate.Load()
	if answer.Status >= minFaultStatus {
		answer.Load.Pressure = subCallPressure
	}
	return answer
}

// gateResult classifies a run for the concurrency limit. A caller that disconnected, or an upstream that could not be
// reached, is no evidence of how many requests the upstream can run at once.
func gateResult(a call.Answer, ownTime time.Duration) admission.Result {
	r := admission.Result{Own: ownTime}
	switch {
	case a.Reason == call.UpstreamShed:
		r.Shed = true
	case a.Outcome != call.Whole && a.Reason != call.AnswerLost:
		r.Withdrawn = true
	}
	return r
}

// checkNotRun accepts an upstream's claim that it did not run a request only if the request's sub-calls have spent
// nothing. An upstream may pass on the refusal of a later sub-call although an earlier one ran; if the claim were
// believed, the caller would send the request again and, for instance, pay twice.
func checkNotRun(r *call.Request, a call.Answer, left int) call.Answer {
	given := r.Budget - 1
	if a.Outcome == call.NotRun && left < given {
		a = call.Lose(call.AnswerLost)
	}
	a.BudgetLeft = left
	if a.Outcome == call.NotRun {
		a.BudgetLeft++
	}
	return a
}
