package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// attemptsPerHop bounds the hosts that one hop tries; the chain's budget bounds them all together.
const attemptsPerHop = 3

// retryReserve is kept back from an attempt, so that a lost answer leaves enough for one repeat.
const retryReserve = 1

// dispatch places the request and repeats it on another host only after a true
// notRun, or after a lost answer where the operation is idempotent.
func (d *Daemon) dispatch(ctx context.Context, a admitted) call.Answer {
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	tried := map[string]bool{}
	answer := call.Refuse(call.NoUpstream, time.Second)
	ran := false
	for attempt := 1; attempt <= attemptsPerHop; attempt++ {
		next, ok := d.attempt(ctx, a, tried, attempt)
		if !ok {
			break
		}
		answer = next
		ran = ran || next.Outcome == call.Unknown
		if !repeatable(a.request, next) || ctx.Err() != nil {
			break
		}
	}
	// A refusal after a lost answer must not claim that nothing ran.
	if ran && answer.Outcome == call.NotRun {
		answer = call.Lose(call.AnswerLost)
	}
	answer.BudgetLeft = a.account.Left()
	return answer
}

func repeatable(r call.Request, a call.Answer) bool {
	switch a.Outcome {
	case call.NotRun:
		return a.Reason.ComeBack()
	case call.Unknown:
		return r.Idempotent
	default:
		return false
	}
}

func (d *Daemon) attempt(ctx context.Context, a admitted, tried map[string]bool, number int) (call.Answer, bool) {
	host, ok := d.placer.Pick(d.usable(d.view.Load().HostsOf(a.request.Service)), tried)
	if !ok {
		return call.Answer{}, false
	}
	defer d.placer.Done(host.Host)
	tried[host.Host] = true
	r := a.request
	r.Budget = a.account.Draw(retryReserve)
	if r.Budget == 0 {
		return call.Refuse(call.BudgetSpent, 0), true
	}
	begun := time.Now()
	answer := d.send(ctx, host, &r)
	d.judge(host.Host, answer)
	a.account.Return(answer.BudgetLeft)
	d.log.WithFields(logrus.Fields{
		"decision": "place", "requestId": r.ID, "organisation": r.Organisation, "operation": r.Operation,
		"service": r.Service, "host": host.Host, "zone": host.Zone, "attempt": number, "depth": r.Depth,
		"outcome": answer.Outcome.String(), "reason": answer.Reason.String(), "durationUs": time.Since(begun).Microseconds(),
	}).Info("route")
	return answer, true
}

// send runs the request on this host's upstream or hands it on to the daemon beside the chosen one.
func (d *Daemon) send(ctx context.Context, host lists.Host, r *call.Request) call.Answer {
	if host.Host == d.settings.Host {
		return d.owner.run(ctx, r)
	}
	back, err := peer.Call[handoff, handback](ctx, d.peers, host.Peer, peer.KindCall, newHandoff(r, time.Now()))
	if err == nil {
		return back.answer()
	}
	if errors.Is(err, peer.ErrNotSent) {
		refusal := call.Refuse(call.NoUpstream, time.Second)
		refusal.BudgetLeft = r.Budget
		return refusal
	}
	if errors.Is(err, context.Canceled) {
		return call.Lose(call.Cancelled)
	}
	return call.Lose(call.AnswerLost)
}
