package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

const observeEvery = time.Second

// observe shows the gate and the doors in the metrics for as long as the daemon runs.
func (d *Daemon) observe() {
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	var last admission.Counts
	var bytes peer.Traffic
	for {
		select {
		case <-d.control.ctx.Done():
			return
		case <-tick.C:
			last = d.observeGate(last)
			d.metrics.Gauge(telemetry.DoorsClosing).Update(float64(d.doors.Len()))
			d.observeFleet()
			bytes = d.observePeers(bytes)
		}
	}
}

// observeFleet shows whether the lists are current, and who gets no new work.
func (d *Daemon) observeFleet() {
	scope := d.metrics.Scope
	leaving, suspects := d.members.Load().Counts()
	scope.Gauge(telemetry.MembersLeaving).Update(float64(leaving))
	scope.Gauge(telemetry.MembersSuspect).Update(float64(suspects))
	scope.Gauge(telemetry.PeerConnections).Update(float64(d.peers.Connections()))
	serving := 0.0
	if d.takes(time.Now()) {
		serving = 1
	}
	scope.Gauge(telemetry.Serving).Update(serving)
	view := d.view.Load()
	for k := range lists.Kinds {
		kind := lists.Kind(k)
		scope.Tagged(map[string]string{"list": kind.String()}).Gauge(telemetry.ListVersion).Update(float64(view.Version(kind)))
	}
}

// observePeers returns the bytes between daemons that it has shown.
func (d *Daemon) observePeers(last peer.Traffic) peer.Traffic {
	traffic := d.peers.Traffic()
	for k, bytes := range traffic.ByKind {
		if k == 0 {
			continue
		}
		scope := d.metrics.Tagged(map[string]string{"message": peer.Kind(k).String()})
		add(scope.Counter(telemetry.PeerBytesSent), bytes.Sent, last.ByKind[k].Sent)
		add(scope.Counter(telemetry.PeerBytesGot), bytes.Received, last.ByKind[k].Received)
	}
	return traffic
}

// observeGate returns the counts that it has shown.
func (d *Daemon) observeGate(last admission.Counts) admission.Counts {
	scope := d.metrics.Scope
	load, counts := d.owner.gate.Load(), d.owner.gate.Counts()
	scope.Gauge(telemetry.GateLimit).Update(float64(load.Limit))
	scope.Gauge(telemetry.GateRunning).Update(float64(load.InFlight))
	scope.Gauge(telemetry.GateQueued).Update(float64(load.Queued))
	add(scope.Counter(telemetry.GateRan), counts.Ran, last.Ran)
	add(scope.Counter(telemetry.GateWaited), counts.Waited, last.Waited)
	add(scope.Counter(telemetry.GateRefused), counts.Refused, last.Refused)
	add(scope.Counter(telemetry.GateEvicted), counts.Evicted, last.Evicted)
	add(scope.Counter(telemetry.GateExpired), counts.Expired, last.Expired)
	add(scope.Counter(telemetry.GateShed), counts.Shed, last.Shed)
	return counts
}

func add(counter tally.Counter, now, last uint64) { counter.Inc(int64(now - last)) }
