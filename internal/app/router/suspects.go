package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// suspectedRetryAfter is the Retry-After if content that runs on one instance at a time could not begin there: a run has ended by then.
const suspectedRetryAfter = 250 * time.Millisecond

// inspection is what is known of a request's content.
type inspection struct {
	verdict quarantine.Verdict
	// version is the table's at that time, made whether there was an inspection.
	version uint64
	made    bool
}

// content returns what makes the request the same as others for the instance.
func (req *runRequest) content() *quarantine.Content {
	return &quarantine.Content{
		Organisation: req.Organisation, Route: req.Route, Method: req.Method, Host: req.HTTPHost, Target: req.Target, Body: req.Body,
	}
}

// inspect brings the verdict on the request's content up to date.
func (e *executor) inspect(req *runRequest, now time.Time) quarantine.Verdict {
	if e.disabled.Has(mechanism.Quarantine) {
		return quarantine.Verdict{}
	}
	if version := e.quarantine.Version(); !req.inspection.made || req.inspection.version != version {
		req.inspection = inspection{verdict: e.quarantine.Check(req.content(), now), version: version, made: true}
	}
	return req.inspection.verdict
}

// screen reports whether the request's content may run here now, and otherwise returns the refusal. If the content runs on one instance at a time, it
// waits here for another request with it, or goes to the instance that its sender chooses.
func (e *executor) screen(ctx context.Context, req *runRequest, deadline time.Time) (refusal runResult, ok bool) {
	for {
		verdict := e.inspect(req, time.Now())
		switch {
		case verdict.Refused:
			e.warmUp.metrics.Counter(telemetry.RequestsQuarantined).Inc(1)
			return refusedResult(call.Refuse(call.Quarantined, verdict.RetryAfter), e.load()), false
		case verdict.Exclusive && !req.Exclusive:
			res := refusedResult(call.Refuse(call.Suspected, suspectedRetryAfter), e.load())
			res.Suspect = verdict.Fingerprint
			return res, false
		case !verdict.Exclusive:
			return runResult{}, true
		}
		unlocked, locked := e.locks.TryLock(verdict.Fingerprint)
		if locked {
			req.locked = verdict.Fingerprint
			return runResult{}, true
		}
		if !await(ctx, unlocked, deadline) {
			return refusedResult(call.Refuse(call.Suspected, suspectedRetryAfter), e.load()), false
		}
	}
}

// await waits until the channel is closed, and returns false if the context or the time ends before.
func await(ctx context.Context, closed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// unlock lets the next request with the content run, if this one kept it from running.
func (e *executor) unlock(req *runRequest) {
	if req.locked != 0 {
		e.locks.Unlock(req.locked)
		req.locked = 0
	}
}

// closedToContent returns why a request that has got a slot must not run because of its content, or call.None.
func (e *executor) closedToContent(req *runRequest, now time.Time) call.Reason {
	switch verdict := e.inspect(req, now); {
	case verdict.Refused:
		e.warmUp.metrics.Counter(telemetry.RequestsQuarantined).Inc(1)
		return call.Quarantined
	case verdict.Exclusive && req.locked == 0:
		return call.Suspected
	default:
		return call.None
	}
}

// clear records that the instance has run the request to its end.
func (e *executor) clear(req *runRequest) {
	if req.inspection.verdict.Crashes > 0 || e.quarantine.Version() != req.inspection.version {
		e.quarantine.Succeeded(req.content())
	}
}

// suspect returns the request as one that was at work at a crash.
func (e *executor) suspect(req *runRequest) crash.Suspect {
	return crash.SuspectOf(e.quarantine, req.RequestID, req.content())
}

// instanceCrashed logs a crash of the instance and holds it against what was at work there, on all daemons to which the same content may come. What
// was at work on an instance that was about to end isn't suspected.
func (e *executor) instanceCrashed(suspects []crash.Suspect) {
	e.mu.Lock()
	of, planned := e.current.Incarnation(), !e.drainingSince.IsZero()
	e.mu.Unlock()
	_, leaving := e.stated.leavingFor(of, time.Now())
	planned = planned || leaving
	e.warmUp.metrics.Counter(telemetry.InstanceCrashes).Inc(1)
	e.warmUp.log.WithFields(logrus.Fields{
		"instance": of.ID, "planned": planned, "atWork": len(suspects), "suspects": crash.Describe(suspects),
	}).Warn("instance crashed")
	if !planned && !e.disabled.Has(mechanism.Quarantine) {
		e.spreadCrash(suspects)
	}
}
