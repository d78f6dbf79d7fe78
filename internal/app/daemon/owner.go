package daemon

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// owner runs requests on the upstream beside the daemon, a bounded number at once.
type owner struct {
	slots    chan struct{}
	upstream *upstream.Client
	chains   *chains
}

func newOwner(slots int, u *upstream.Client) *owner {
	return &owner{slots: make(chan struct{}, slots), upstream: u, chains: newChains()}
}

// longestWait bounds the queue in time: what waits longer than this is refused while it can still go elsewhere.
const longestWait = 250 * time.Millisecond

func (o *owner) run(ctx context.Context, r *call.Request) call.Answer {
	if !o.enter(ctx, r) {
		refusal := call.Refuse(call.Overloaded, time.Second)
		refusal.BudgetLeft = r.Budget
		return refusal
	}
	defer o.leave()
	account := budget.New(r.Budget - 1)
	token := o.chains.open(r, account)
	answer := o.upstream.Do(ctx, r, token)
	o.chains.shut(token)
	answer.BudgetLeft = account.Left()
	if answer.Outcome == call.NotRun {
		answer.BudgetLeft++
	}
	answer.Load = call.Load{InFlight: len(o.slots), Limit: cap(o.slots)}
	return answer
}

func (o *owner) enter(ctx context.Context, r *call.Request) bool {
	wait := min(r.Remaining(time.Now()), longestWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case o.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

func (o *owner) leave() { <-o.slots }
