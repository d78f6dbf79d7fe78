package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// suspectedRetryAfter is the Retry-After of a request whose content runs one request at a time, and that could not begin in time.
const suspectedRetryAfter = time.Second

// contentOf returns what makes the request the same as others for the upstream.
func contentOf(r *call.Request) *quarantine.Content {
	return &quarantine.Content{Organisation: r.Organisation, Route: r.Operation, Method: r.Method, Target: r.Path, Body: r.Body}
}

// screen waits until the request's content may run, and returns how to end that; false comes with the refusal.
func (e *executor) screen(ctx context.Context, r *call.Request) (end func(), refusal admission.Decision, ok bool) {
	for {
		verdict := e.quarantine.Check(contentOf(r), time.Now())
		switch {
		case verdict.Refused:
			return nil, admission.Decision{Reason: call.Quarantined, RetryAfter: verdict.RetryAfter}, false
		case !verdict.Exclusive:
			return func() {}, refusal, true
		}
		unlocked, locked := e.locks.TryLock(verdict.Fingerprint)
		if locked {
			return func() { e.locks.Unlock(verdict.Fingerprint) }, refusal, true
		}
		remaining := r.Remaining(time.Now())
		select {
		case <-unlocked:
			continue
		case <-ctx.Done():
		case <-time.After(remaining - refusalTime(remaining)):
		}
		return nil, admission.Decision{Reason: call.Suspected, RetryAfter: suspectedRetryAfter}, false
	}
}

// runOnUpstream sends the request to the upstream, and holds a crash against the content of what was at work.
func (e *executor) runOnUpstream(ctx context.Context, r *call.Request, token string) call.Answer {
	began := time.Now()
	e.crashes.Begin(r)
	answer := e.upstream.Do(ctx, r, token)
	switch {
	case answer.Outcome == call.Whole:
		e.quarantine.Succeeded(contentOf(r))
	case answer.Reason == call.AnswerLost && ctx.Err() == nil:
		e.crashes.Lost(ctx, began)
	}
	e.crashes.End(r, answer.Outcome == call.Unknown && ctx.Err() != nil)
	return answer
}

// upstreamCrashed logs a crash of the upstream and holds it against what was at work there.
func (d *Daemon) upstreamCrashed(suspects []crash.Suspect) {
	d.metrics.Counter(telemetry.InstanceCrashes).Inc(1)
	d.log.WithFields(logrus.Fields{
		"instance": d.settings.Host, "planned": d.leaving.Load(), "atWork": len(suspects), "suspects": crash.Describe(suspects),
	}).Warn("instance crashed")
	if !d.leaving.Load() {
		d.crashes.Spread(suspects)
	}
}

// followCrashes asks other daemons of the service for their crashes until the daemon stops.
func (d *Daemon) followCrashes() {
	d.crashes.Run(d.control.ctx, func() bool { return len(d.view.Load().HostsOf(d.settings.Service)) > 0 })
}

// crashReceivers returns the daemons on the other hosts of the service, which are those that may run the same operations.
func (d *Daemon) crashReceivers([]string) crash.Receivers {
	receivers := crash.Receivers{}
	for _, h := range d.usable(d.settings.Service) {
		if h.Host != d.settings.Host {
			receivers.Listed = append(receivers.Listed, h.Peer)
		}
	}
	return receivers
}
