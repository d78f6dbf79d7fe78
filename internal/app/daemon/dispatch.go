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

// attemptsPerHop bounds the hosts that one hop tries; the chain's budget bounds them all together.
const attemptsPerHop = 3

// dispatch places the request, and tells those above it how it went: the door
// that let it in, or the request that the upstream made this call for.
func (d *Daemon) dispatch(ctx context.Context, a admitted) call.Answer {
	if a.origin != nil {
		a.origin.enter(time.Now())
	}
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	answer := d.try(ctx, a)
	if answer.Reason.Overload() || answer.Reason == call.AnswerLost && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		answer.Load.Pressure = 1
	}
	switch {
	case a.origin != nil:
		a.origin.exit(time.Now(), answer.Load.Pressure)
	case answer.Reason != call.Cancelled:
		d.doors.Report(time.Now(), a.request.Organisation, a.request.Operation, answer.Load.Pressure, answer.RetryAfter)
	}
	return answer
}

// try repeats the request on another host only after a true notRun, or after a
// lost answer where the operation is idempotent.
func (d *Daemon) try(ctx context.Context, a admitted) call.Answer {
	tried := make([]string, 0, attemptsPerHop)
	answer := call.Refuse(call.NoUpstream, time.Second)
	ran := false
	for len(tried) < attemptsPerHop {
		if len(tried) > 0 && !a.inForce() {
			answer = call.Refuse(call.UnknownKey, 0)
			break
		}
		next, host, ok := d.attempt(ctx, a, tried)
		if !ok {
			if len(tried) == 0 {
				d.tellPlacing(&a.request, lists.Host{}, 0, answer, time.Now())
			}
			break
		}
		tried = append(tried, host)
		answer = next
		ran = ran || next.Outcome == call.Unknown
		if !repeatable(a.request, next) || ctx.Err() != nil {
			break
		}
	}
	// A refusal after a lost answer must not claim that nothing ran.
	if ran && answer.Outcome == call.NotRun {
		answer = call.UnknownOutcome(call.AnswerLost)
	}
	answer.BudgetLeft = a.account.Left()
	return answer
}

func repeatable(r call.Request, a call.Answer) bool {
	switch a.Outcome {
	case call.NotRun:
		return a.Reason.Temporary()
	case call.Unknown:
		return r.Idempotent
	default:
		return false
	}
}

// attempt sends the request to one more host and returns its answer and name; false if there is no other host.
func (d *Daemon) attempt(ctx context.Context, a admitted, tried []string) (call.Answer, string, bool) {
	r, begun := a.request, time.Now()
	if r.Budget = d.draw(ctx, a); r.Budget == 0 {
		refusal := unfunded(ctx)
		d.tellPlacing(&r, lists.Host{}, len(tried), refusal, begun)
		return refusal, "", true
	}
	begun = time.Now()
	place, ok := d.placer.Pick(begun, r.Service, d.candidates(r.Service), tried)
	if !ok {
		a.account.Settle(r.Budget, r.Budget)
		return call.Answer{}, "", false
	}
	host := place.Host
	answer := d.send(ctx, host, &r, a.still)
	d.judge(host.Host, answer)
	now := time.Now()
	d.placer.Settle(now, place, r.Operation, ending(answer), answer.Load)
	a.account.Settle(r.Budget, answer.BudgetLeft)
	if answer.Outcome == call.Whole {
		d.needs.Learn(r.Operation, r.Budget, r.Budget-answer.BudgetLeft, answer.Status < statusFault)
	}
	d.tellPlacing(&r, host, len(tried), answer, begun)
	return answer, host.Host, true
}

// tellPlacing logs one placing decision and what became of it; the host is empty where none was taken.
func (d *Daemon) tellPlacing(r *call.Request, host lists.Host, tried int, answer call.Answer, begun time.Time) {
	d.log.WithFields(logrus.Fields{
		"decision": "place", "requestId": r.ID, "organisation": r.Organisation, "operation": r.Operation,
		"service": r.Service, "host": host.Host, "zone": host.Zone, "attempt": tried + 1, "depth": r.Depth, "budget": r.Budget,
		"outcome": answer.Outcome.String(), "reason": answer.Reason.String(), "durationUs": time.Since(begun).Microseconds(),
	}).Info("route")
}

// unfunded is the answer for an attempt without budget, which may have waited for some until its time was up.
func unfunded(ctx context.Context) call.Answer {
	if ctx.Err() != nil {
		return call.Refuse(call.DeadlineTooNear, 0)
	}
	return call.Refuse(call.BudgetSpent, 0)
}

// draw takes what the attempt may spend from the request's account, waiting for
// calls made beside it if they hold what is missing; 0 means that there is nothing.
func (d *Daemon) draw(ctx context.Context, a admitted) int {
	for {
		runs, wait := a.account.Draw(d.needs.Expect(a.request.Operation, a.request.Depth))
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

// statusFault is the lowest HTTP status code of a fault of the upstream.
const statusFault = 500

// ending is what an answer tells of the host that it came from.
func ending(a call.Answer) placing.Ending {
	switch {
	case a.Outcome == call.Whole && a.Status < statusFault:
		return placing.Served
	case a.Outcome == call.Whole && a.Load.Pressure > 0:
		return placing.Silent
	case a.Outcome == call.Whole:
		return placing.Faulty
	case a.Reason.Overload():
		return placing.Declined
	case a.Reason == call.NoUpstream, a.Reason == call.Draining, a.Reason == call.AnswerLost:
		return placing.Failed
	default:
		return placing.Silent
	}
}

// send runs the request on this host's upstream or hands it on to the daemon beside the chosen one.
func (d *Daemon) send(ctx context.Context, host lists.Host, r *call.Request, still func() bool) call.Answer {
	if host.Host == d.settings.Host {
		return d.owner.run(ctx, r, still)
	}
	back, err := peer.Call[handoff, handback](ctx, d.peers, host.Peer, peer.KindCall, newHandoff(r, time.Now()))
	if err == nil {
		return back.answer()
	}
	return d.unanswered(r, err)
}

// unanswered tells what a failed handoff says of the request.
func (d *Daemon) unanswered(r *call.Request, err error) call.Answer {
	switch {
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
