package router

import (
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// usageInterval is how often a daemon logs what it uses.
const usageInterval = 10 * time.Second

// usage counts what a daemon does for the fleet since its start.
type usage struct {
	loggedAt               time.Time
	storeCalls, heartbeats atomic.Int64
}

// logUsage logs, once per usageInterval, the daemon's role in the fleet and what it has used since its start.
func (c *control) logUsage(now time.Time) {
	r := c.router
	if r.usage.loggedAt.IsZero() {
		r.usage.loggedAt = r.reporter.startedAt
	}
	if now.Sub(r.usage.loggedAt) < usageInterval {
		return
	}
	r.usage.loggedAt = now
	r.log.WithFields(c.usageFields(now)).Info("usage")
}

// usageFields returns the fields of the log line. A daemon without a list of hosts has no role yet.
func (c *control) usageFields(now time.Time) logrus.Fields {
	r := c.router
	collects, reader := "none", false
	if c.loader.IsLoaded() {
		collects, reader = r.reporter.collects(), r.reporter.isReader()
	}
	traffic := r.peers.Traffic()
	control := traffic.ByKind[peer.KindHeartbeat]
	control.Sent += traffic.ByKind[peer.KindChanges].Sent + traffic.ByKind[peer.KindAnnouncement].Sent
	control.Received += traffic.ByKind[peer.KindChanges].Received + traffic.ByKind[peer.KindAnnouncement].Received
	return logrus.Fields{
		"collects": collects, "reader": reader,
		"seed": slices.Contains(r.settings.Seeds, r.settings.Peers), "upMs": now.Sub(r.reporter.startedAt).Milliseconds(),
		"cpuMs": processorTime().Milliseconds(), "memoryKb": memoryBytes() >> 10, "storeCalls": r.usage.storeCalls.Load(),
		"heartbeats": r.usage.heartbeats.Load(), "sentKb": traffic.Sent >> 10, "receivedKb": traffic.Received >> 10,
		"controlSentKb": control.Sent >> 10, "controlReceivedKb": control.Received >> 10,
		"connections": r.peers.Connections(), "instances": len(r.view.Load().Instances()),
	}
}

// collects returns for whom this daemon is the regular collector.
func (r *reporter) collects() string {
	topology, self := r.topology(), r.router.settings.Peers.Addr()
	usable := r.usable(time.Now())
	switch {
	case slices.Contains(topology.Fleet(1, usable), self):
		return "fleet"
	case slices.Contains(topology.Group(self, 1, usable), self):
		return "group"
	default:
		return "none"
	}
}

// processorTime returns the processor time of the process, 0 if the system doesn't tell.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// memoryBytes returns the memory that the runtime has from the system.
func memoryBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
