package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
)

// take answers another daemon's beat.
func (b *reporter) take(_ context.Context, _ netip.AddrPort, in collect.Heartbeat) collect.Reply {
	now := time.Now()
	view := b.router.view.Load()
	fleet := collect.Fleet{Daemons: len(view.Hosts()), Members: b.laidOut().Members(b.router.settings.Peers.Addr())}
	if view.Table != nil {
		fleet.Shares = view.Table.Shares
	}
	if in.Version > version(view) || in.Revision > view.Revision {
		b.router.control.later(in.From)
	} else {
		b.router.control.fresh.ObserveReader(now, in.StoreAge)
	}
	out := b.collector.Handle(in, fleet, now)
	out.Version, out.Revision, out.StoreAge = version(view), view.Revision, b.storeAge(now)
	return out
}

// storeAge is how old what this daemon knows of the store is: by its own reading or another reader's, or by the collector that it hears.
func (b *reporter) storeAge(now time.Time) time.Duration {
	own := b.router.control.fresh.BestAge(now)
	if b.laidOut().Flat() {
		return own
	}
	return min(own, b.router.control.fresh.CollectorAge(now))
}

// Planned logs a plan that turns requests away.
func (b *reporter) Planned(shortages []allot.Shortage, lanes int) {
	b.router.log.WithFields(logrus.Fields{"shortages": shortages, "lanes": lanes}).Info("plan")
}

// Leaves logs that a daemon is about to end.
func (b *reporter) Leaves(host netip.Addr) {
	b.router.log.WithField("host", host.String()).Info("daemon leaves")
}
