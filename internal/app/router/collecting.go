package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
)

// handle replies to another daemon's heartbeat.
func (r *reporter) handle(_ context.Context, _ netip.AddrPort, hb collect.Heartbeat) collect.Reply {
	now := time.Now()
	r.router.usage.heartbeats.Add(1)
	view, fleet := r.router.view.Load(), r.fleet(now)
	if hb.Version > version(view) || hb.Revision > view.Revision {
		r.router.control.fetchLater(hb.From)
	} else {
		r.router.control.fresh.ObserveReader(now, hb.StoreAge)
	}
	reply := r.collector.Handle(hb, fleet, now)
	if view.Table == nil {
		// This daemon doesn't know the rates yet; its plan would admit all requests of organisations beyond theirs.
		reply.Plan.Settled = false
	}
	reply.Version, reply.Revision, reply.StoreAge = version(view), view.Revision, r.storeAge(now)
	return reply
}

// fleet describes the fleet as this daemon knows it.
func (r *reporter) fleet(now time.Time) collect.Fleet {
	view := r.router.view.Load()
	fleet := collect.Fleet{Daemons: len(view.Hosts()), Members: r.topology().Members(r.router.settings.Peers.Addr()), Departed: r.departures.Count(now)}
	if view.Table != nil {
		fleet.Shares = view.Table.Shares
	}
	return fleet
}

// storeAge returns the age of this daemon's information from the configuration store: as read by itself or another reader, or as reported
// by its collector.
func (r *reporter) storeAge(now time.Time) time.Duration {
	age := r.router.control.fresh.BestAge(now)
	if r.topology().Flat() {
		return age
	}
	return min(age, r.router.control.fresh.CollectorAge(now))
}

// PlanLimited logs a plan that sheds load.
func (r *reporter) PlanLimited(shortages []allot.Shortage, classes int) {
	r.router.log.WithFields(logrus.Fields{"shortages": shortages, "lanes": classes}).Info("plan")
}

// OrganisationSurges logs an organisation whose surplus is rejected first.
func (r *reporter) OrganisationSurges(surge shares.Surge) {
	r.router.log.WithFields(logrus.Fields{"organisation": surge.Organisation, "usualShare": surge.UsualFraction}).Info("organisation surges")
}

// RatesLimited logs which organisations this collector limits to their rates, and by what it does.
func (r *reporter) RatesLimited(limited collect.RateLimits) {
	r.router.log.WithFields(logrus.Fields{
		"organisations": limited.Organisations, "reporting": limited.Reporting, "daemons": limited.Daemons,
		"collectedForMs": limited.CollectedFor.Milliseconds(), "settled": limited.Settled,
	}).Info("rates limited")
}

// DaemonLeaving logs that a daemon is shutting down.
func (r *reporter) DaemonLeaving(host netip.Addr) {
	r.router.log.WithField("host", host.String()).Info("daemon leaves")
}
