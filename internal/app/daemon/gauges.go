package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const observeEvery = time.Second

// observe shows the gate and the doors in the metrics for as long as the daemon runs.
func (d *Daemon) observe() {
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	var last admission.Counts
	for {
		select {
		case <-d.control.ctx.Done():
			return
		case <-tick.C:
			last = d.observeGate(last)
			d.metrics.Scope.Gauge("doors_closing").Update(float64(d.doors.Len()))
			d.observeFleet()
		}
	}
}

// observeFleet shows whether the lists are current, and who gets no new work.
func (d *Daemon) observeFleet() {
	scope := d.metrics.Scope
	leaving, suspects := d.members.Load().Counts()
	scope.Gauge("members_leaving").Update(float64(leaving))
	scope.Gauge("members_suspect").Update(float64(suspects))
	scope.Gauge("peer_connections").Update(float64(d.peers.Connections()))
	serving := 0.0
	if d.takes(time.Now()) {
		serving = 1
	}
	scope.Gauge("serving").Update(serving)
	view := d.view.Load()
	for k := range lists.Kinds {
		kind := lists.Kind(k)
		scope.Tagged(map[string]string{"list": kind.String()}).Gauge("list_version").Update(float64(view.Version(kind)))
	}
}

// observeGate returns the counts that it has shown.
func (d *Daemon) observeGate(last admission.Counts) admission.Counts {
	scope := d.metrics.Scope.SubScope("gate")
	load, counts := d.owner.gate.Load(), d.owner.gate.Counts()
	scope.Gauge("limit").Update(float64(load.Limit))
	scope.Gauge("running").Update(float64(load.InFlight))
	scope.Gauge("queued").Update(float64(load.Queued))
	add(scope, "ran", counts.Ran, last.Ran)
	add(scope, "waited", counts.Waited, last.Waited)
	add(scope, "refused", counts.Refused, last.Refused)
	add(scope, "evicted", counts.Evicted, last.Evicted)
	add(scope, "expired", counts.Expired, last.Expired)
	add(scope, "shed", counts.Shed, last.Shed)
	return counts
}

func add(scope tally.Scope, name string, now, last uint64) {
	scope.Counter(name).Inc(int64(now - last))
}
