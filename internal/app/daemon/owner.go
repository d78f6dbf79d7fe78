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

// executor runs requests on the upstream beside the daemon, as many at once as its gate lets through.
type executor struct {
	gate     *admission.Gate
	upstream *upstream.Client
	runs     *activeRuns
	// subCallNeeds is what the upstream's own calls need for each operation.
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

// run runs the request, or refuses it before the upstream has seen it. After a
// wait it asks still whether the request may still run; nil means that it may.
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

// refusalTime returns the time that a refusal from the queue needs to be heard before the request's time is up.
//
// On busy hosts, where requests wait, threads do so too. A booking that left
// the queue in its last milliseconds would be called unknown by the daemon that
// handed it on, and its caller sent to look for something that never ran.
func refusalTime(remaining time.Duration) time.Duration { return reserve(remaining, maxRefusalTime) }

func (o *executor) refuse(r *call.Request, d admission.Decision) call.Answer {
	answer := call.Refuse(d.Reason, d.RetryAfter)
	answer.BudgetLeft = r.Budget
	answer.Load = o.gate.Load()
	return answer
}

// execute runs an admitted request; the gate is settled however it ends.
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

// gateResult tells the gate how a run ended. A caller that hung up, or an upstream
// that could not be reached, says nothing about how much the upstream can run.
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

// checkNotRun checks an upstream's word that it did not run a request against what
// the request's own calls have spent. An upstream that passes on the refusal of a
// later call, after an earlier one ran, would have the caller pay twice.
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
