package router

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// setCutoff sets the time at which this daemon, which is shutting down, ends the runs that are at work.
func (e *executor) setCutoff(at time.Time) { e.cutoff.Store(&at) }

// setFinishBy sets the ticket's FinishBy to the time at which a daemon that is shutting down needs the result: the sender, as its message or a later
// finishBound states, or this daemon.
func (e *executor) setFinishBy(ticket *admission.Ticket, req *runRequest, arrived time.Time) {
	ticket.FinishBy = time.Time{}
	if req.FinishIn > 0 {
		ticket.FinishBy = arrived.Add(req.FinishIn)
	}
	if req.finishBy != nil {
		if stated := req.finishBy.get(); !stated.IsZero() {
			ticket.FinishBy = stated
		}
	}
	if own := e.ownFinish(); !own.IsZero() && (ticket.FinishBy.IsZero() || own.Before(ticket.FinishBy)) {
		ticket.FinishBy = own
	}
	if !ticket.FinishBy.IsZero() {
		ticket.UsualTime = e.targetOf(req.Route)
	}
}

// enterInTime acquires a slot. The wait of a request also ends when its run would go on beyond the end that its sender states meanwhile: the sender
// couldn't tell then whether it was run.
func (e *executor) enterInTime(ctx context.Context, gate *admission.Gate, ticket *admission.Ticket, req *runRequest) admission.Decision {
	if req.finishBy == nil {
		return gate.Enter(ctx, ticket)
	}
	waiting, end := context.WithCancel(ctx)
	defer end()
	bounded := admission.Ticket{Operation: ticket.Operation, UsualTime: e.targetOf(req.Route)}
	req.finishBy.onSet(func(at time.Time) {
		bounded.FinishBy = at
		time.AfterFunc(time.Until(gate.LatestStart(&bounded)), end)
	})
	defer req.finishBy.onSet(nil)
	decision := gate.Enter(waiting, ticket)
	if decision.Verdict != admission.Run && waiting.Err() != nil && ctx.Err() == nil {
		decision.Reason = call.WouldOutlast
	}
	return decision
}

// ownFinish returns the time by which runs must have ended since this daemon is shutting down, zero if it isn't.
func (e *executor) ownFinish() time.Time {
	cutoff := e.cutoff.Load()
	if cutoff == nil {
		return time.Time{}
	}
	return cutoff.Add(-finishReserve)
}

// instanceDeadline returns the deadline that the instance is given. The daemons wait beyond FinishBy, so that a run that takes longer than expected
// ends with the instance's own response.
func instanceDeadline(ticket *admission.Ticket) time.Time {
	if !ticket.FinishBy.IsZero() && ticket.FinishBy.Before(ticket.Deadline) {
		return ticket.FinishBy
	}
	return ticket.Deadline
}

// shortens reports whether the instance was given less time than the request has, since this daemon is shutting down.
func (e *executor) shortens(ticket *admission.Ticket) bool {
	own := e.ownFinish()
	return !own.IsZero() && ticket.FinishBy.Equal(own) && own.Before(ticket.Deadline)
}
