package router

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/fresh"
)

// reporter sends heartbeats to a collector, which is one of the daemons, and applies the replies.
//
// No state between daemons is persisted or needs consensus: an unreachable collector is replaced by the next one in an order that all
// daemons compute alike, and has heartbeats of all daemons within one interval.
type reporter struct {
	router    *Router
	collector *collect.Collector
	triggered chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup

	startedAt time.Time
	// lastHeartbeat is when the last heartbeat was sent, in Unix nanoseconds.
	lastHeartbeat  atomic.Int64
	cachedTopology atomic.Pointer[viewTopology]
	departures     *collect.Departures
	// settled means that a plan with valid rate allocations was received; until then heartbeats are sent at the shortest interval.
	settled bool
	// lastCollector is the host of the daemon that replied last, and lastSettled whether its plan was valid for rates.
	lastCollector netip.Addr
	lastSettled   bool
	// unusableSurges is the number of entries of the last list of surging organisations that could not be used.
	unusableSurges int
	// groupSearch and fleetSearch are the searches for collectors that reply.
	groupSearch, fleetSearch collect.Search

	mu sync.Mutex
	// unavailableHosts has the hosts whose daemons are leaving or missing according to the last reply, and missing is the number of missing
	// ones.
	unavailableHosts map[netip.Addr]bool
	missing          int
	// avoidedUntil has the collectors that did not reply, with the time from which they are tried again.
	avoidedUntil map[netip.Addr]time.Time
	// slowUntil has the neighbours that did not reply to a fetch in time, with the time from which they are asked again.
	slowUntil map[netip.Addr]time.Time
}

// viewTopology is the topology of a view's hosts.
type viewTopology struct {
	*collect.Topology
	view *catalog.View
}

const (
	// maxHeartbeatsPerInterval is the maximum number of heartbeats in one regular interval, counting those requested with triggerEarly; those
	// requested with trigger come on top.
	maxHeartbeatsPerInterval = 3
	// storeReaders is how many daemons follow the configuration store, the first ones in the order of collectors. The others learn of
	// changes with their next heartbeat: otherwise each change would cost a store call by every daemon.
	storeReaders = 3
)

func newReporter(r *Router) *reporter {
	ctx, cancel := context.WithCancel(context.Background())
	rep := &reporter{router: r, triggered: make(chan struct{}, 1), ctx: ctx, cancel: cancel, startedAt: time.Now(), departures: collect.NewDepartures(), avoidedUntil: map[netip.Addr]time.Time{}, slowUntil: map[netip.Addr]time.Time{}}
	rep.collector = collect.New(rep, r.settings.Without)
	return rep
}

func (r *reporter) start() { r.done.Go(r.run) }

func (r *reporter) stop() {
	r.cancel()
	r.done.Wait()
}

// trigger requests a heartbeat right now.
func (r *reporter) trigger() {
	select {
	case r.triggered <- struct{}{}:
	default:
	}
}

// triggerEarly requests a heartbeat before the interval is over, limited to maxHeartbeatsPerInterval.
func (r *reporter) triggerEarly(now time.Time) {
	if now.Sub(time.Unix(0, r.lastHeartbeat.Load())) >= collect.Interval/maxHeartbeatsPerInterval {
		r.trigger()
	}
}

func (r *reporter) run() {
	for r.ctx.Err() == nil {
		interval := collect.Interval
		if topology := r.topology(); topology.Size() > 0 && r.sendHeartbeat(topology) {
			interval = collect.GroupInterval
		}
		if !r.settled {
			interval = min(interval, collect.Interval/maxHeartbeatsPerInterval)
		}
		select {
		case <-r.ctx.Done():
		case <-r.triggered:
		case <-time.After(interval):
		}
	}
}

// topology returns the topology of the hosts that are listed now. It is computed anew only if the hosts have changed, since in a large fleet
// most changes are of an instance's state.
func (r *reporter) topology() *viewTopology {
	view := r.router.view.Load()
	cached := r.cachedTopology.Load()
	if cached != nil && cached.view == view {
		return cached
	}
	if cached != nil && view.SameHosts(cached.view) {
		topology := &viewTopology{cached.Topology, view}
		r.cachedTopology.Store(topology)
		return topology
	}
	instances := view.Instances()
	hosts := make([]collect.Host, 0, len(instances))
	for i := range instances {
		hosts = append(hosts, collect.Host{Address: instances[i].Address.Addr(), Zone: instances[i].Zone})
	}
	topology := &viewTopology{collect.NewTopology(hosts), view}
	r.departures.SetListed(view.Hosts(), time.Now())
	r.cachedTopology.Store(topology)
	return topology
}

// sendHeartbeat sends a heartbeat to the first collector that replies. It returns true if this daemon collects for a group.
func (r *reporter) sendHeartbeat(topology *viewTopology) bool {
	sent := time.Now()
	r.lastHeartbeat.Store(sent.UnixNano())
	self := r.router.settings.Peers.Addr()
	collectors := topology.Group(self, 1, r.usable(sent))
	collects := !topology.Flat() && len(collectors) > 0 && collectors[0] == self
	if collects {
		r.sendGroupHeartbeat(topology, sent)
	}
	hb := r.heartbeat(topology.view, sent)
	if len(collectors) > 0 && collectors[0] != self {
		hb.Reporters = r.collector.Reporters(sent)
	}
	next := func(count int) []netip.Addr { return topology.Group(self, count, r.usable(time.Now())) }
	if host, reply, ok := r.sendToFirst(hb, next, &r.groupSearch); ok {
		r.apply(host, hb, reply, sent)
	}
	return collects
}

// heartbeat builds this daemon's own heartbeat.
func (r *reporter) heartbeat(view *catalog.View, now time.Time) collect.Heartbeat {
	router := r.router
	leaving := router.closedToPeers.Load()
	service, work := router.executor.report(leaving, now)
	hb := collect.Heartbeat{
		From: router.settings.Peers, Version: version(view), Revision: view.Revision, StoreAge: router.control.fresh.Age(now),
		CountedFor: now.Sub(r.startedAt), Counts: router.quota.Report(now),
		Report: demand.Report{
			Daemons: 1, Services: map[string]demand.Service{router.settings.Service: service}, Demand: router.shedder.Demand(now), RetryRates: router.retryBudget.Report(now),
		},
		Work: map[string]collect.Work{router.settings.Service: work}, Calls: router.executor.runs.Calls(), CertainlyCalled: router.executor.runs.CertainlyCalled(),
	}
	hb.LeavingInstances = router.told.announced(view)
	if leaving {
		hb.Leaving = []netip.Addr{router.settings.Peers.Addr()}
	}
	return hb
}

// sendGroupHeartbeat sends the group's heartbeat to the fleet's collector, unless that is this daemon.
func (r *reporter) sendGroupHeartbeat(topology *viewTopology, sent time.Time) {
	hb := collect.Heartbeat{
		From: r.router.settings.Peers, Version: version(topology.view), Revision: topology.view.Revision, StoreAge: r.router.control.fresh.BestAge(sent),
	}
	self := r.router.settings.Peers.Addr()
	next := func(count int) []netip.Addr {
		hosts := topology.Fleet(count, r.usable(time.Now()))
		if i := slices.Index(hosts, self); i >= 0 {
			// If none of the hosts before it replies, this daemon collects for the fleet itself.
			hosts = hosts[:i]
		}
		return hosts
	}
	if len(next(1)) == 0 {
		return
	}
	r.collector.FillGroup(&hb, topology.Members(self), sent)
	if host, reply, ok := r.sendToFirst(hb, next, &r.fleetSearch); ok {
		r.collector.Apply(reply, sent)
		r.collector.SetGrants(reply.Grants, sent)
		r.fetchNewer(host, hb, reply, sent)
	}
}

// followsStore reports whether this daemon must follow the configuration store itself: it is one of the readers, or receives nothing
// current from them.
//
// In a fleet with groups, daemons that receive nothing current begin to follow the store one after the other: their heartbeats bring what the
// first ones read to all others.
func (r *reporter) followsStore(now time.Time) bool {
	topology, control := r.topology(), r.router.control
	switch {
	case r.isReader():
		return true
	case control.fresh.Current(now):
		control.takeover.Reset()
		return false
	default:
		return topology.Flat() || control.takeover.Due(topology.Size(), now)
	}
}

// isReader reports whether this daemon is one of the regular readers of the configuration store.
func (r *reporter) isReader() bool {
	return r.topology().Position(r.router.settings.Peers.Addr()) < storeReaders
}

// changesPause returns how long this daemon waits after changes before it asks the store for more.
func (r *reporter) changesPause() time.Duration {
	if r.topology().Position(r.router.settings.Peers.Addr()) == 0 {
		return changesPause
	}
	return spareChangesPause
}

// apply applies the collector's reply to this daemon's heartbeat.
func (r *reporter) apply(host netip.Addr, hb collect.Heartbeat, reply collect.Reply, sent time.Time) {
	planMadeAt := sent.Add(-reply.Plan.Age)
	if host != r.router.settings.Peers.Addr() {
		r.collector.Apply(reply, sent)
		r.fetchNewer(host, hb, reply, sent)
	}
	r.logCollector(host, reply.Plan)
	r.renewLease(reply.Plan, planMadeAt)
	r.settled = r.settled || reply.Plan.Settled
	if reply.Plan.Settled {
		r.router.quota.Apply(reply.Plan.Rates, planMadeAt)
	}
	disabled := r.router.settings.Without
	if !disabled.Has(mechanism.Plan) {
		r.router.shedder.Apply(slices.Concat(reply.Plan.Allocations, reply.Plan.Surplus), planMadeAt)
	}
	if !disabled.Has(mechanism.OrganisationShares) {
		r.applySurges(host, reply.Plan.Surges, planMadeAt)
	}
	if !disabled.Has(mechanism.LentRetries) {
		r.router.retryBudget.Apply(reply.Grants, hb.Report.RetryRates, sent)
	}
	r.router.told.setReported(reply.LeavingInstances)
	r.departures.SetLeaving(reply.Leaving, sent)
	r.router.metrics.Gauge(telemetry.PlanAge).Update(time.Since(planMadeAt).Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailableHosts = make(map[netip.Addr]bool, len(reply.Leaving)+len(reply.Missing))
	for _, other := range slices.Concat(reply.Leaving, reply.Missing) {
		r.unavailableHosts[other] = true
	}
	r.logMissing(reply.Missing)
}

// renewLease renews the lease of this daemon's share of the rates by the plan and by the age of what it knows from the store.
func (r *reporter) renewLease(plan collect.Plan, planMadeAt time.Time) {
	now, control := time.Now(), r.router.control
	if fleet := r.fleet(now); fleet.MadeForMost(plan) {
		r.router.quota.Renew(planMadeAt)
	}
	if age := min(control.fresh.BestAge(now), control.fresh.CollectorAge(now)); age < fresh.MaxAge {
		r.router.quota.Renew(now.Add(-age))
	}
}

// applySurges applies the collector's list of surging organisations.
func (r *reporter) applySurges(host netip.Addr, surges []shares.Surge, madeAt time.Time) {
	unusable := r.router.usualShares.Apply(surges, madeAt)
	r.router.metrics.Counter(telemetry.SurgesNotUsed).Inc(int64(unusable))
	if unusable > 0 && unusable != r.unusableSurges {
		r.router.log.WithFields(logrus.Fields{"host": host.String(), "count": unusable}).Warn("surges not used")
	}
	r.unusableSurges = unusable
	r.router.metrics.Gauge(telemetry.OrganisationSurges).Update(float64(len(surges)))
}

// fetchNewer records the age of the collector's snapshot of the store, and fetches what the collector has beyond this daemon's. A collector
// without a configuration has just started and says nothing about the store.
func (r *reporter) fetchNewer(host netip.Addr, hb collect.Heartbeat, reply collect.Reply, sent time.Time) {
	if reply.Version == 0 {
		return
	}
	r.router.control.fresh.ObserveCollector(sent, reply.StoreAge)
	if reply.Version > hb.Version || reply.Revision > hb.Revision {
		r.fetchStated(host, statedState{version: reply.Version, revision: reply.Revision})
	}
}

// logCollector logs which daemon has replied, when it is another one than before or its plan has become valid or invalid for rates.
func (r *reporter) logCollector(host netip.Addr, plan collect.Plan) {
	if host == r.lastCollector && plan.Settled == r.lastSettled {
		return
	}
	r.lastCollector, r.lastSettled = host, plan.Settled
	r.router.log.WithFields(logrus.Fields{
		"host": host.String(), "reporting": plan.Daemons, "settled": plan.Settled, "planAgeMs": plan.Age.Milliseconds(),
	}).Info("collector found")
}

// logMissing logs the number of missing daemons when it changes.
func (r *reporter) logMissing(hosts []netip.Addr) {
	if len(hosts) == r.missing {
		return
	}
	r.missing = len(hosts)
	named := make([]string, 0, maxLoggedHosts)
	for _, host := range hosts[:min(len(hosts), maxLoggedHosts)] {
		named = append(named, host.String())
	}
	r.router.log.WithFields(logrus.Fields{"count": len(hosts), "hosts": named}).Info("daemons silent")
}

// maxLoggedHosts bounds the hosts in one log line.
const maxLoggedHosts = 20

// anyUnavailable reports whether any daemon is leaving or has missed heartbeats.
func (r *reporter) anyUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unavailableHosts) > 0
}

// unavailable reports whether the daemon on the host is leaving or has missed heartbeats.
func (r *reporter) unavailable(host netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailableHosts[host]
}
