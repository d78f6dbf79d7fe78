package daemon

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// stop shuts the daemon down in stages: callers are still served but told to connect to other hosts, other daemons get time
// to notice, the requests in flight are finished, idempotency keys are transferred, and only then connections close.
//
// Refusing callers at once would lose the requests that arrive before the platform has announced the leave; they
// are placed on other hosts instead.
func (d *Daemon) stop() {
	d.leaving.Store(true)
	d.log.Info("leaving")
	d.control.announceLeaving()
	time.Sleep(d.settings.LeaveTime)
	d.drain()
	d.dedup.transferKeys()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTime)
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
