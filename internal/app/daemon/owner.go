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

// owner runs requests on the upstream beside the daemon, as many at once as its gate lets through.
type owner struct {
	gate     *admission.Gate
	upstream *upstream.Client
	chains   *chains
	// below is what the upstream's own calls need for each operation.
	below *budget.Needs
}

func newOwner(s settings.Settings, u *upstream.Client) *owner {
	gate := admission.New(
		limit.New(s.Limit, s.Slots),
		admission.WithQueue(queue.New[*admission.Ticket](s.Queue)),
		admission.WithWait(s.QueueTime),
		admission.WithLength(s.QueueLength),
	)
	return &owner{gate: gate, upstream: u, chains: newChains(), below: budget.NewNeeds()}
}

// run runs the request, or refuses it before the upstream has seen it. After a
// wait it asks still whether the request may still run; nil means that it may.
func (o *owner) run(ctx context.Context, r *call.Request, still func() bool) call.Answer {
	t := &admission.Ticket{
		Organisation: r.Organisation, Operation: r.Operation, Weight: r.Weight, Priority: r.Priority,
		Deadline: r.Deadline.Add(-toTell(r.Remaining(time.Now()))),
	}
	if d := o.gate.Enter(ctx, t); d.Verdict != admission.Run {
		return o.refused(r, d)
	}
	if still != nil && !still() {
		o.gate.Settle(time.Now(), t, admission.Result{Withdrawn: true})
		return o.refused(r, admission.Decision{Reason: call.UnknownKey})
	}
	return o.execute(ctx, r, t)
}

const tellTime = 20 * time.Millisecond

// toTell returns the time that a refusal from the queue needs to be heard before the request's time is up.
//
// On busy hosts, where requests wait, threads do so too. A booking that left
// the queue in its last milliseconds would be called unknown by the daemon that
// handed it on, and its caller sent to look for something that never ran.
func toTell(left time.Duration) time.Duration { return setAside(left, tellTime) }

func (o *owner) refused(r *call.Request, d admission.Decision) call.Answer {
	answer := call.Refuse(d.Reason, d.RetryAfter)
	answer.BudgetLeft = r.Budget
	answer.Load = o.gate.Load()
	return answer
}

// execute runs an admitted request; the gate is settled however it ends.
func (o *owner) execute(ctx context.Context, r *call.Request, t *admission.Ticket) call.Answer {
	given := r.Budget - 1
	account := budget.NewFor(given, o.below.Expect(r.Operation, r.Depth+1))
	token, origin := o.chains.open(r, account)
	begun := time.Now()
	answer := o.upstream.Do(ctx, r, token)
	o.chains.shut(token)
	now := time.Now()
	waited, deeper := origin.waited(now)
	o.gate.Settle(now, t, result(answer, max(now.Sub(begun)-waited, 0)))
	left := account.Close()
	if answer.Outcome == call.Whole {
		o.below.Learn(r.Operation, given, given-left, answer.Status < statusFault)
	}
	answer = credible(r, answer, left)
	answer.Load = o.gate.Load()
	if answer.Status >= statusFault {
		answer.Load.Pressure = deeper
	}
	return answer
}

// result tells the gate how a run ended. A caller that hung up, or an upstream
// that could not be reached, says nothing about how much the upstream can run.
func result(a call.Answer, own time.Duration) admission.Result {
	r := admission.Result{Own: own}
	switch {
	case a.Reason == call.UpstreamShed:
		r.Shed = true
	case a.Outcome != call.Whole && a.Reason != call.AnswerLost:
		r.Withdrawn = true
	}
	return r
}

// credible checks an upstream's word that it did not run a request against what
// the request's own calls have spent. An upstream that passes on the refusal of a
// later call, after an earlier one ran, would have the caller pay twice.
func credible(r *call.Request, a call.Answer, left int) call.Answer {
	given := r.Budget - 1
	if a.Outcome == call.NotRun && left < given {
		a = call.UnknownOutcome(call.AnswerLost)
	}
	a.BudgetLeft = left
	if a.Outcome == call.NotRun {
		a.BudgetLeft++
	}
	return a
}
