package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// ending is the time at which a leaving daemon ends the requests that are still in flight. It closes connections from then on, so no attempt
// begins that would outlast it.
type ending struct {
	at atomic.Pointer[time.Time]
	// over is a context that ends at the cutoff, and end ends it.
	over context.Context
	end  context.CancelFunc
}

func newEnding() *ending {
	e := &ending{}
	e.over, e.end = context.WithCancel(context.Background())
	return e
}

// begin sets the cutoff; the returned function must be called when the daemon has stopped.
func (e *ending) begin(cutoff time.Time) (stop func()) {
	e.at.Store(&cutoff)
	timer := time.AfterFunc(time.Until(cutoff), e.end)
	return func() { timer.Stop() }
}

// errCutoff is the cause of the end of a request's context at the cutoff.
var errCutoff = errors.New("daemon: the time of the leaving daemon is over")

// bound returns a context that also ends at the cutoff, with errCutoff as the cause. Requests that are at work then are answered before their
// connections close.
func (e *ending) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if e == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.over, func() { cancel(errCutoff) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// cutoff returns the time by which requests must have ended, or zero while the daemon isn't leaving.
func (e *ending) cutoff() time.Time {
	if e == nil || e.at.Load() == nil {
		return time.Time{}
	}
	return *e.at.Load()
}

// endedByCutoff reports whether the context of a request ended at the cutoff, and not since its caller left.
func endedByCutoff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutoff) }

// cutoffAnswer returns the response to a request that the cutoff ended in place of one that its caller cancelled.
func cutoffAnswer(a call.Answer) call.Answer {
	if a.Outcome == call.NotRun {
		return call.Refuse(call.WouldOutlast, time.Second)
	}
	return call.UnknownOutcome(call.AnswerLost)
}

// earlierBound returns the earlier of two times, of which a zero one is no bound.
func earlierBound(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// outlastsRefusal refuses a request for which a leaving daemon has no time left.
func outlastsRefusal(r *call.Request) call.Answer {
	refusal := call.Refuse(call.WouldOutlast, time.Second)
	refusal.BudgetLeft = r.Budget
	return refusal
}

// stop shuts the daemon down in stages: callers are still served but told to connect to other hosts, other daemons get time
// to notice, the requests in flight are finished, idempotency keys are transferred, and only then connections close.
//
// Refusing callers at once would lose the requests that arrive before the platform has announced the leave; they
// are placed on other hosts instead.
func (d *Daemon) stop() {
	// Every request that arrives before the port closes has at least this time: the drains and the close of the port begin after the
	// leave time, and each waits for up to the drain time.
	lasts := d.settings.LeaveTime + d.settings.DrainTime
	defer d.ending.begin(time.Now().Add(lasts))()
	d.leaving.Store(true)
	d.log.WithField("endsInMs", lasts.Milliseconds()).Info("leaving")
	d.control.announceLeaving()
	time.Sleep(d.settings.LeaveTime)
	d.drain()
	d.dedup.transferKeys()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTime+responseTime)
	defer cancel()
	if err := d.callerServer.Stop(ctx); err != nil {
		d.log.WithError(err).Warn("callers' port")
	}
	d.drain()
	d.rateLimiter.handOverShards()
	d.rateLimiter.stop()
	d.control.stop()
	d.peers.Stop()
	_ = d.operatorServer.Stop(ctx)
	d.metrics.Close()
	d.log.WithField("inFlight", d.inFlight.total.Load()).Info("stopped")
}

// responseTime is how long the responses to requests that the cutoff ends may take to reach their callers.
const responseTime = 100 * time.Millisecond

// drain waits until the requests in flight have ended, at most for the drain time.
func (d *Daemon) drain() { d.inFlight.drain(d.settings.DrainTime) }

// candidates returns the hosts on which a request of the service can be placed. A leaving daemon uses its own upstream
// only if there is no other host.
func (d *Daemon) candidates(service string) []lists.Host {
	hosts := d.usable(service)
	if !d.leaving.Load() || service != d.settings.Service {
		return hosts
	}
	others := make([]lists.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Host != d.settings.Host && !h.Leaving {
			others = append(others, h)
		}
	}
	own, ok := d.view.Load().Host(d.settings.Host)
	if len(others) > 0 || !ok {
		return others
	}
	own.Leaving = false
	return []lists.Host{own}
}
