package router

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/shutdown"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

const (
	// quietPeriod is how long the daemon must have been without requests in flight before the process ends: another may be on its way.
	quietPeriod = 300 * time.Millisecond
	// shutdownReserve is the end of the leave time, which is reserved for closing the callers' and the peers' connections and for the
	// end of the process.
	shutdownReserve = httpd.StopSlack + peersReserve + exitReserve
	peersReserve    = 250 * time.Millisecond
	exitReserve     = 300 * time.Millisecond
	// quietPollInterval is how often a leaving daemon checks whether requests are in flight.
	quietPollInterval = 20 * time.Millisecond
	// finishReserve is what remains of the time before the cutoff for a result's way back.
	finishReserve = 50 * time.Millisecond
	// minFinishIn is stated where no time is left, since 0 states no bound.
	minFinishIn = time.Millisecond
)

// serveHealth reports whether callers can be sent to this daemon.
func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case r.leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case r.view.Load().Table == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// leaving reports whether the daemon was ordered to shut down. Callers' connections are closed after the next response then, so that callers
// connect to another host.
func (r *Router) leaving() bool { return r.shutdown.Load() != nil }

// stopsBefore reports whether a request that has just arrived is refused because the process may end before it does; timeout is how long its sender
// waits. A sub-call isn't, since that would fail the run that makes it: like the attempts of all requests, it begins if it is likely to end in time.
func (r *Router) stopsBefore(req *request, timeout time.Duration) bool {
	schedule := r.shutdown.Load()
	return schedule != nil && schedule.Refuses(req.arrivedAt, req.deadline) && !r.maybeSubcall(req, timeout)
}

// maybeSubcall reports whether the request is a sub-call or, in a configuration without organisations, may be one: only its deadline tells that a
// request can't come from a run on this host's instance.
func (r *Router) maybeSubcall(req *request, timeout time.Duration) bool {
	return req.subcall || req.unkeyed && r.executor.runs.MayHaveParent(req.arrivedAt.Add(timeout))
}

// pastCutoff reports whether this daemon is shutting down and has no time left for a run.
func (r *Router) pastCutoff(now time.Time) bool {
	schedule := r.shutdown.Load()
	return schedule != nil && !now.Before(schedule.Cutoff.Add(-finishReserve))
}

// finishIn returns how long a run that begins now may take if its caller sent the request to this daemon, or 0 if there is no bound.
func (r *Router) finishIn(now time.Time) time.Duration {
	schedule := r.shutdown.Load()
	if schedule == nil {
		return 0
	}
	return max(schedule.Cutoff.Sub(now)-finishReserve, minFinishIn)
}

// leavingAnswer returns the response to a caller of a leaving daemon: a refusal states when callers find another host, and a request that was
// ended at the cutoff isn't cancelled.
func (r *Router) leavingAnswer(req *request, answer call.Answer, now time.Time) call.Answer {
	schedule := r.shutdown.Load()
	switch {
	case schedule == nil:
		return answer
	case req.active.ended.Load() && answer.Reason == call.Cancelled && answer.Outcome == call.Unknown:
		return call.UnknownOutcome(call.AnswerLost)
	case req.active.ended.Load() && answer.Reason == call.Cancelled:
		return call.Refuse(call.Draining, schedule.RetryAfter(now))
	case answer.Outcome == call.NotRun && answer.Reason.Temporary():
		return call.Refuse(answer.Reason, max(answer.RetryAfter, schedule.RetryAfter(now)))
	default:
		return answer
	}
}

// stop shuts the daemon down by its schedule. Health reports it at once, callers are served until they have had time to move to other hosts, other
// daemons are told to send no more requests for the instance, and the process ends when no request is in flight or the leave time is over.
func (r *Router) stop() {
	schedule := shutdown.New(time.Now(), r.settings.LeaveTime, shutdown.Closing{Port: httpd.MaxBacklogTime, Rest: shutdownReserve})
	r.logStage("leaving", schedule)
	r.executor.setCutoff(schedule.Cutoff)
	r.shutdown.Store(&schedule)
	r.sendBounds()
	time.Sleep(time.Until(schedule.InstanceUseEnd))
	r.closedToPeers.Store(true)
	r.executor.endWaits()
	r.reporter.trigger()
	time.Sleep(time.Until(schedule.NoticeEnd))
	r.awaitQuiet(quietPeriod, schedule.PortEnd)
	r.awaitRuns(schedule.SubcallsEnd)
	cut := time.AfterFunc(time.Until(schedule.Cutoff), r.endActive)
	defer cut.Stop()
	r.closeCallers(schedule)
	r.awaitQuiet(0, schedule.ConnectionsEnd)
	r.reporter.stop()
	r.control.stop()
	r.peers.Stop()
	r.executor.stop()
	r.metrics.Close()
	r.logStage("stopped", schedule)
}

// awaitQuiet waits until no request has been in flight for the period, or until the end.
func (r *Router) awaitQuiet(period time.Duration, end time.Time) {
	lastBusy := time.Now()
	for now := time.Now(); now.Before(end); now = time.Now() {
		if r.active.count() > 0 {
			lastBusy = now
		} else if now.Sub(lastBusy) >= period {
			return
		}
		time.Sleep(quietPollInterval)
	}
}

// awaitRuns waits until the instance on this host runs nothing that could make a sub-call, or until the end.
func (r *Router) awaitRuns(end time.Time) {
	for r.executor.runs.Len() > 0 && time.Now().Before(end) {
		time.Sleep(quietPollInterval)
	}
}

// closeCallers closes the callers' port and, when their requests have ended or are over, their connections.
func (r *Router) closeCallers(schedule shutdown.Schedule) {
	r.logStage("closing", schedule)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.ConnectionsEnd)
	defer cancel()
	if err := r.callers.Stop(ctx); err != nil {
		r.log.WithError(err).Warn("callers' port")
	}
}

// logStage logs a stage of the shutdown.
func (r *Router) logStage(stage string, schedule shutdown.Schedule) {
	now := time.Now()
	r.log.WithFields(logrus.Fields{
		"inFlight": r.active.count(), "afterMs": now.Sub(schedule.OrderedAt).Milliseconds(), "endsInMs": schedule.Cutoff.Sub(now).Milliseconds(),
	}).Info(stage)
}
