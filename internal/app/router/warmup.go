package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/warmup"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/instance"
)

// warmUp paces the requests to the instance on this host while it is cold. All requests to the instance pass this daemon, so the pace
// needs no coordination with others.
type warmUp struct {
	heads   Heads
	limits  ColdLimits
	log     *logrus.Logger
	metrics *telemetry.Metrics
	// disabled means that cold instances aren't paced.
	disabled bool
	pacer    *admission.Pacer
	monitor  *instance.Monitor
	// observe receives the headers of responses to health checks.
	observe func(status int, header http.Header)
	// down means that the instance accepts no connections.
	down atomic.Bool

	mu      sync.Mutex
	service routing.Service
	tracker warmup.Tracker
	// lastCheck is when the last health check was requested or sent.
	lastCheck time.Time
	// suspected means that the last sign of a restart was logged and no health check has been answered since.
	suspected bool
}

// ColdLimits bounds the requests that a cold instance receives in any second: its cold rate times Overage, plus Slack. Both are 0 if unknown.
type ColdLimits struct {
	Overage float64
	Slack   float64
}

// minCheckInterval is the minimum interval of health checks after weak signs of a restart.
const minCheckInterval = 300 * time.Millisecond

func newWarmUp(settings Settings, heads Heads, log *logrus.Logger, metrics *telemetry.Metrics) *warmUp {
	w := &warmUp{heads: heads, limits: settings.ColdLimits, log: log, metrics: metrics, disabled: settings.Without.Has(mechanism.ColdPacing), pacer: &admission.Pacer{}}
	w.monitor = instance.NewMonitor(settings.Instance, w)
	return w
}

// run monitors the instance until ctx ends.
func (w *warmUp) run(ctx context.Context) { w.monitor.Run(ctx) }

// configure applies the settings of the instance's service. In a daemon that has just started, the instance may have started with it.
func (w *warmUp) configure(service routing.Service) {
	w.mu.Lock()
	known := w.service.ColdRate > 0
	if w.disabled {
		service.ColdRate = 0
	}
	w.service = service
	w.mu.Unlock()
	if service.ColdRate == 0 {
		w.pacer.Stop()
		return
	}
	if service.Health != "" {
		w.monitor.SetPath(service.Health)
	}
	if !known {
		w.suspect("daemon started")
	}
}

// publish applies the published end of the instance's warm-up.
func (w *warmUp) publish(coldUntil time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.service.ColdRate > 0 && w.tracker.Publish(coldUntil, now) {
		w.followSuspicion("published as cold", now)
	}
}

// suspect records a sign that the instance may have just started: it counts as cold until a health check says otherwise.
func (w *warmUp) suspect(sign string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.service.ColdRate == 0 {
		return
	}
	now := time.Now()
	w.tracker.Suspect(now, w.service.ColdStart)
	w.followSuspicion(sign, now)
}

// followSuspicion paces the requests, and logs and checks the suspicion.
func (w *warmUp) followSuspicion(sign string, now time.Time) {
	w.pace(now)
	if !w.suspected {
		w.suspected = true
		w.log.WithFields(logrus.Fields{"sign": sign, "coldForMs": w.tracker.ColdUntil().Sub(now).Milliseconds()}).Info("instance suspected")
		w.metrics.Counter(telemetry.InstanceSuspected).Inc(1)
	}
	w.check(now)
}

// recheck requests a health check after a weak sign of a restart, such as a lost response.
func (w *warmUp) recheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.service.ColdRate > 0 && now.Sub(w.lastCheck) > minCheckInterval {
		w.check(now)
	}
}

func (w *warmUp) check(now time.Time) {
	w.lastCheck = now
	w.monitor.Check()
}

// pace applies the tracker's state to the pacer.
func (w *warmUp) pace(now time.Time) {
	until := w.tracker.ColdUntil()
	if !until.After(now) {
		w.pacer.Stop()
		return
	}
	w.pacer.Pace(w.limits.rate(w.service.ColdRate), until)
}

// rate returns the requests per second that a cold instance may receive. The excess that Overage and Slack allow isn't used, since well above
// its rate the instance crashes.
func (l ColdLimits) rate(perSecond float64) float64 {
	if bound := perSecond*l.Overage + l.Slack; bound > 0 {
		return min(perSecond, bound)
	}
	return perSecond
}

// coldStarts returns the requests per second that the instance may receive while it is cold, and 0 if it is not.
func (w *warmUp) coldStarts(now time.Time) float64 {
	if interval := w.pacer.WarmUpInterval(now); interval > 0 {
		return 1 / interval.Seconds()
	}
	return 0
}

// Checking implements instance.MonitorObserver. A health check counts as a request.
func (w *warmUp) Checking(now time.Time) {
	w.pacer.Spend(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCheck = now
}

// Checked implements instance.MonitorObserver.
func (w *warmUp) Checked(sent time.Time, status int, header http.Header) {
	w.down.Store(false)
	w.observe(status, header)
	remaining, known := w.heads.Health(status, header)
	if !known {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tracker.Confirm(sent, remaining, now)
	w.pace(now)
	if w.suspected && w.tracker.Confirmed() {
		w.suspected = false
		w.log.WithFields(logrus.Fields{"coldForMs": remaining.Milliseconds(), "tookMs": now.Sub(sent).Milliseconds()}).Info("instance checked")
	}
}

// Disconnected implements instance.MonitorObserver.
func (w *warmUp) Disconnected(err error, reachable bool) {
	if !reachable {
		w.down.Store(true)
	}
	w.suspect("monitor: " + err.Error())
}
