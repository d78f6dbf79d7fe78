package router

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// enter acquires a slot. A request with a long latency target may wait longer, while the bounds on such requests allow it.
func (e *executor) enter(ctx context.Context, gate *admission.Gate, ticket *admission.Ticket, req *runRequest) admission.Decision {
	ticket.Closed = func() call.Reason { return e.closedToWaiting(gate, req) }
	patience := e.longPatience(req)
	if patience == 0 || !e.longWaits.Acquire(len(req.Body), gate.Load().Limit) {
		return e.enterInTime(ctx, gate, ticket, req)
	}
	defer e.longWaits.Release(len(req.Body))
	ticket.Patience = patience
	return e.enterInTime(ctx, gate, ticket, req)
}

// longPatience returns how long a caller's request may wait if that is longer than maxQueueWait, or 0. Sub-calls wait by their remaining time.
func (e *executor) longPatience(req *runRequest) time.Duration {
	if req.Subcall || e.disabled.Has(mechanism.LongWaits) {
		return 0
	}
	return admission.LongPatience(e.targetOf(req.Route), req.Remaining)
}

// targetOf returns the latency target of the route, 0 if it is unknown. It comes from this daemon's configuration, so that no message grows.
func (e *executor) targetOf(route string) time.Duration {
	e.mu.Lock()
	table := e.table
	e.mu.Unlock()
	if table == nil {
		return 0
	}
	return table.Target(route)
}

// observe records what a response of the instance states. Requests that wait for an instance that is about to end go to another one.
func (e *executor) observe(of routing.Incarnation, requestID string, status int, header http.Header) {
	if !e.stated.observe(of, requestID, status, header) {
		return
	}
	if _, current := e.gateFor(of); current {
		e.refuseWaiting(call.NoUpstream)
	}
}

// closedToWaiting returns why the request must not begin to wait at the gate, or call.None. What it looks at changes before the waiting requests
// are refused, so that a request which passed the checks before doesn't wait on.
func (e *executor) closedToWaiting(gate *admission.Gate, req *runRequest) call.Reason {
	drained, draining := e.closing()
	_, leaving := e.stated.leavingFor(req.Instance, time.Now())
	_, current := e.gateFor(req.Instance)
	switch {
	case drained:
		return call.ZoneDrained
	case draining || leaving || !current:
		return call.NoUpstream
	case e.waitsEnded.Load():
		return call.Draining
	case gate != e.currentGate():
		return call.Overloaded
	default:
		return call.None
	}
}

// endWaits refuses the requests that wait for a slot, also later ones, when the daemon closes to its peers.
func (e *executor) endWaits() {
	e.waitsEnded.Store(true)
	e.refuseWaiting(call.Draining)
}

// refuseWaiting refuses the requests that wait for the instance with the reason; none of them has run.
func (e *executor) refuseWaiting(reason call.Reason) { e.refuseWaitingAt(e.currentGate(), reason) }

// refuseWaitingAt refuses the requests that wait at the gate, which another one may have replaced.
func (e *executor) refuseWaitingAt(gate *admission.Gate, reason call.Reason) {
	refused := gate.RefuseWaiting(time.Now(), reason)
	if refused == 0 {
		return
	}
	e.warmUp.metrics.Counter(telemetry.GateWaitsEnded).Inc(int64(refused))
	e.warmUp.log.WithFields(logrus.Fields{"count": refused, "reason": reason.String()}).Info("waiting requests refused")
}

// reportReserved updates the metric of the reserved slots, and logs when the reservation begins and ends.
func (e *executor) reportReserved(now time.Time) {
	e.mu.Lock()
	gate, before := e.gate, e.reserved
	e.mu.Unlock()
	reserved := gate.Reserved(now)
	e.mu.Lock()
	e.reserved = reserved
	e.mu.Unlock()
	e.warmUp.metrics.Gauge(telemetry.GateReserved).Update(float64(reserved))
	if (reserved > 0) != (before > 0) {
		load := gate.Load()
		e.warmUp.log.WithFields(logrus.Fields{"reserved": reserved, "inFlight": load.InFlight, "queued": load.Queued, "limit": load.Limit}).Info("slots reserved")
	}
}
