package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const metricsInterval = time.Second

// reportMetrics updates the metrics until the control goroutine is stopped.
func (d *Daemon) reportMetrics() {
	tick := time.NewTicker(metricsInterval)
	defer tick.Stop()
	var last admission.Counts
	var bytes telemetry.PeerBytes
	for {
		select {
		case <-d.control.ctx.Done():
			return
		case <-tick.C:
			last = d.reportGate(last)
			d.metrics.Gauge(telemetry.ActiveThrottles).Update(float64(d.throttles.Len()))
			d.reportFleet()
			d.memory.Report()
			bytes.Report(d.metrics.Scope, d.peers.Traffic())
		}
	}
}

// reportFleet reports whether the lists are current, and how many hosts receive no new work.
func (d *Daemon) reportFleet() {
	scope := d.metrics.Scope
	leaving, suspects := d.members.Load().Counts()
	scope.Gauge(telemetry.MembersLeaving).Update(float64(leaving))
	scope.Gauge(telemetry.MembersSuspect).Update(float64(suspects))
	scope.Gauge(telemetry.PeerConnections).Update(float64(d.peers.Connections()))
	serving := 0.0
	if d.acceptsCallers(time.Now()) {
		serving = 1
	}
	scope.Gauge(telemetry.Serving).Update(serving)
	view := d.view.Load()
	for k := range lists.Kinds {
		kind := lists.Kind(k)
		scope.Tagged(map[string]string{"list": kind.String()}).Gauge(telemetry.ListVersion).Update(float64(view.Version(kind)))
	}
}

// reportGate reports the gate's load and its counts since the last report, and returns the totals for the next one.
func (d *Daemon) reportGate(last admission.Counts) admission.Counts {
	scope := d.metrics.Scope
	load, counts := d.executor.gate.Load(), d.executor.gate.Counts()
	scope.Gauge(telemetry.GateLimit).Update(float64(load.Limit))
	scope.Gauge(telemetry.GateRunning).Update(float64(load.InFlight))
	scope.Gauge(telemetry.GateQueued).Update(float64(load.Queued))
	addDelta(scope.Counter(telemetry.GateRan), counts.Ran, last.Ran)
	addDelta(scope.Counter(telemetry.GateWaited), counts.Waited, last.Waited)
	addDelta(scope.Counter(telemetry.GateRefused), counts.Refused, last.Refused)
	addDelta(scope.Counter(telemetry.GateEvicted), counts.Evicted, last.Evicted)
	addDelta(scope.Counter(telemetry.GateExpired), counts.Expired, last.Expired)
	addDelta(scope.Counter(telemetry.GateShed), counts.Shed, last.Shed)
	return counts
}

func addDelta(counter tally.Counter, now, last uint64) { counter.Inc(int64(now - last)) }
