package router

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

const (
	// noticePeriod is how long callers are served as usual after the order to shut down. The platform checks health once a second and sends
	// callers to other hosts after two failed checks; if they were not served until then, they would lose requests.
	noticePeriod = 2300 * time.Millisecond
	// instanceUsePeriod is how long other daemons may still use the instance after the order to shut down. The instance is healthy, and its
	// service does without its capacity while the daemon restarts: a third of the service's, with three instances. Other daemons learn of
	// the shutdown within a heartbeat interval.
	instanceUsePeriod = 1900 * time.Millisecond
	// quietPeriod is how long the daemon must have been without requests in flight before the process ends: another may be on its way.
	quietPeriod = 300 * time.Millisecond
	// shutdownReserve is the end of the leave time, which is reserved for closing the callers' port and the peers' connections and for the
	// end of the process.
	shutdownReserve = httpd.StopSlack + peersReserve + exitReserve
	peersReserve    = 250 * time.Millisecond
	exitReserve     = 300 * time.Millisecond
	// quietPollInterval is how often a leaving daemon checks whether requests are in flight.
	quietPollInterval = 20 * time.Millisecond
)

// serveHealth reports whether callers can be sent to this daemon.
func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case r.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case r.view.Load().Table == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// closing reports whether callers' connections are closed after the next response, so that callers connect to another host.
func (r *Router) closing() bool { return r.leaving.Load() }

// stopsBefore reports whether the process is likely to end before the request does. By then callers have had time to move to other hosts;
// a request that still arrives is better refused at once than lost when the process ends.
func (r *Router) stopsBefore(req *request) bool {
	if !r.leaving.Load() {
		return false
	}
	leftAt := time.Unix(0, r.leftAt.Load())
	return req.arrivedAt.Sub(leftAt) > noticePeriod && req.deadline.After(leftAt.Add(r.settings.LeaveTime-shutdownReserve))
}

// stop shuts the daemon down. Health reports it at once, callers are served until they have had time to move to other hosts, other daemons
// are told to send no more requests for the instance, and the process ends when no request is in flight or the leave time is over.
func (r *Router) stop() {
	leftAt := time.Now()
	end := leftAt.Add(r.settings.LeaveTime - shutdownReserve)
	r.log.WithFields(logrus.Fields{"inFlight": r.active.count(), "endsInMs": time.Until(end).Milliseconds()}).Info("leaving")
	r.leftAt.Store(leftAt.UnixNano())
	r.leaving.Store(true)
	time.Sleep(min(instanceUsePeriod, time.Until(end)))
	r.closedToPeers.Store(true)
	r.executor.endWaits()
	r.reporter.trigger()
	time.Sleep(min(noticePeriod-instanceUsePeriod, time.Until(end)))
	lastBusy := time.Now()
	for now := time.Now(); now.Before(end) && now.Sub(lastBusy) < quietPeriod; now = time.Now() {
		if r.active.count() > 0 {
			lastBusy = now
		}
		time.Sleep(quietPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	logsCut := time.AfterFunc(time.Until(end), func() { r.logCut(time.Now()) })
	r.log.WithFields(logrus.Fields{"inFlight": r.active.count(), "afterMs": time.Since(leftAt).Milliseconds()}).Info("closing")
	err := r.callers.Stop(ctx)
	logsCut.Stop()
	if err != nil {
		r.log.WithError(err).Warn("callers' port")
	}
	r.reporter.stop()
	r.control.stop()
	r.peers.Stop()
	r.executor.stop()
	r.metrics.Close()
	r.log.WithFields(logrus.Fields{"inFlight": r.active.count(), "afterMs": time.Since(leftAt).Milliseconds()}).Info("stopped")
}
