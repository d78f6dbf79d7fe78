package collect

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// Observer receives the events that a collector reports.
type Observer interface {
	// PlanLimited receives the shortages behind a plan that sheds load and the number of classes that it limits. Calls are rate-limited.
	PlanLimited(shortages []allot.Shortage, classes int)
	// DaemonLeaving receives the host of a daemon that has started to shut down.
	DaemonLeaving(host netip.Addr)
	// OrganisationSurges receives an organisation that the plan lists as surging and the one before did not.
	OrganisationSurges(surge shares.Surge)
	// RatesLimited receives what the allocations of organisations above their rate limits are based on. Calls are rate-limited.
	RatesLimited(limited RateLimits)
}

// RateLimits are the organisations that a collector limits, and what it knows of the fleet.
type RateLimits struct {
	Organisations []quota.LimitedRate
	// Reporting is the number of daemons that have reported recently, and Daemons that of all, those that have departed included.
	Reporting, Daemons int
	// CollectedFor is how long the collector has received reports without losing those of most daemons.
	CollectedFor time.Duration
	// Settled means that the daemons use the allocations.
	Settled bool
}

// Fleet describes the fleet to a daemon that acts as a collector.
type Fleet struct {
	// Daemons is the number of daemons in the host list, Departed the number of hosts that have left it without notice (see Departures), and
	// Members the hosts whose daemons should report to this collector.
	Daemons  int
	Departed int
	Members  []netip.Addr
	// Shares returns the fraction of a route's requests that goes to each of its services; nil while no configuration is known.
	Shares func(route string) map[string]float64
}

// MadeForMost reports whether the plan was made from the reports of more than half of the daemons.
func (f *Fleet) MadeForMost(plan Plan) bool { return 2*plan.Daemons > f.Daemons+f.Departed }

// Collector aggregates the heartbeats of other daemons and replies with a plan. Every daemon has one, since any daemon may receive
// heartbeats.
type Collector struct {
	observer Observer
	disabled mechanism.Set

	mu          sync.Mutex
	demand      *demand.Collector
	rates       *quota.Pool
	graph       *graph.Graph
	planner     *allot.Planner
	allocations []shed.Allocation
	plannedAt   time.Time
	// observedAt is when the observer last received the shortages of a plan.
	observedAt time.Time
	// ratesObservedAt is when the observer last received the organisations above their rate limits.
	ratesObservedAt time.Time
	// work is what the group's instances have done since the last group heartbeat, by service.
	work             map[string]Work
	leavingDaemons   announcements[netip.Addr]
	leavingInstances announcements[routing.Incarnation]
	monitor          heartbeatMonitor
	// groupReportedAt is when this daemon last sent a group heartbeat.
	groupReportedAt time.Time
	// otherReply is the last reply of another collector, which made its plan at otherPlanMadeAt.
	otherReply      Reply
	otherPlanMadeAt time.Time
	surges          surges
}

const (
	// minPlanInterval limits how often a plan is computed: many daemons send a heartbeat within one interval.
	minPlanInterval = 50 * time.Millisecond
	// minObserverInterval limits how often the observer receives a plan's shortages.
	minObserverInterval = 500 * time.Millisecond
	// minRatesInterval limits how often the observer receives the organisations above their rate limits.
	minRatesInterval = time.Second
	// maxLimitedRates bounds the organisations that the observer receives at once.
	maxLimitedRates = 10
	// relayTTL is the maximum age of another collector's plan that is still relayed: two heartbeats.
	relayTTL = 2 * Interval
	// leavingTTL is how long a report of a leaving daemon or instance is valid: by then the daemon has stopped or has restarted.
	leavingTTL = 10 * time.Second
)

// New returns a collector without any reports.
func New(observer Observer, disabled mechanism.Set) *Collector {
	return &Collector{
		observer: observer, disabled: disabled, demand: demand.New(), rates: quota.NewPool(), graph: graph.New(), planner: allot.New(allot.Without(disabled)),
		work: map[string]Work{}, leavingDaemons: newAnnouncements[netip.Addr](), leavingInstances: newAnnouncements[routing.Incarnation](),
		monitor: newHeartbeatMonitor(), surges: newSurges(),
	}
}

// Configure replaces the rate limits of the organisations.
func (c *Collector) Configure(rates map[string]quota.RateLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rates.Configure(rates)
}

// Handle records a heartbeat and returns the reply; the caller fills in Version, Revision and StoreAge.
func (c *Collector) Handle(hb Heartbeat, fleet Fleet, now time.Time) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.Update(hb.From, hb.Group, hb.Report, now)
	c.rates.Update(hb.From, hb.Group, hb.Counts, hb.CountedFor, now)
	c.graph.Merge(hb.Calls, hb.CertainlyCalled, now)
	for service, work := range hb.Work {
		c.recordWork(service, hb, work, now)
	}
	c.plan(fleet, now)
	c.recordLeaving(hb, now)
	c.monitor.record(hb, now)
	return Reply{
		Plan: c.currentPlan(hb, fleet, now), Grants: c.demand.Grants(hb.Report.RetryRates, hb.Report.Daemons, now),
		Leaving: c.allLeavingDaemons(now), LeavingInstances: c.allLeavingInstances(now), Missing: c.missing(fleet.Members, now),
	}
}

// missing returns the hosts whose heartbeats are missing, as seen by this collector, by groups, or by the other collector whose reply is
// current.
func (c *Collector) missing(members []netip.Addr, now time.Time) []netip.Addr {
	collecting := c.collectsForMembers(now)
	c.monitor.setCollecting(collecting, now)
	all := c.monitor.missingInGroups(now)
	if collecting {
		all = append(all, c.monitor.missingOf(members, now)...)
	}
	if now.Sub(c.otherPlanMadeAt) <= relayTTL {
		all = append(all, c.otherReply.Missing...)
	}
	return sortUnique(all)
}

// collectsForMembers reports whether this collector is the regular one of its members, not just the fallback of a daemon that lost a packet
// to the regular one.
func (c *Collector) collectsForMembers(now time.Time) bool {
	return now.Sub(c.groupReportedAt) <= 2*Interval || !c.relays(now)
}

// sortUnique sorts hosts and removes duplicates.
func sortUnique(hosts []netip.Addr) []netip.Addr {
	slices.SortFunc(hosts, netip.Addr.Compare)
	return slices.Compact(hosts)
}

// recordWork records what a service's instances have done, as a heartbeat reports it.
func (c *Collector) recordWork(service string, hb Heartbeat, work Work, now time.Time) {
	c.planner.RecordHoldTimes(service, hb.From.Addr(), work.HoldTimes, now)
	if !c.disabled.Has(mechanism.PlannedRetries) {
		c.planner.RecordDeliveries(service, work.Delivered, work.Retryable, now)
	}
	if !hb.Group {
		sum := c.work[service]
		sum.add(work)
		c.work[service] = sum
	}
}

// add adds the work of other instances. A linear search for the route suffices, since routes are few.
func (w *Work) add(more Work) {
	w.Delivered += more.Delivered
	w.Retryable += more.Retryable
	for _, h := range more.HoldTimes {
		w.addHoldTime(h)
	}
}

func (w *Work) addHoldTime(more allot.HoldTime) {
	for i := range w.HoldTimes {
		if w.HoldTimes[i].Route == more.Route {
			w.HoldTimes[i].Seconds += more.Seconds
			w.HoldTimes[i].Count += more.Count
			return
		}
	}
	w.HoldTimes = append(w.HoldTimes, more)
}

// plan recomputes which fraction of each class the fleet can serve, at most once per minPlanInterval.
func (c *Collector) plan(fleet Fleet, now time.Time) {
	if fleet.Shares == nil || now.Sub(c.plannedAt) < minPlanInterval || c.relays(now) {
		return
	}
	c.plannedAt = now
	state := allot.State{
		Demand: c.demand.Demand(), CallGraph: c.graph.Edges(), Shares: fleet.Shares, RetryRates: c.demand.RetryRates(now), Instances: c.demand.Instances(),
	}
	state.Saturation, state.Slots = c.demand.Services()
	plan := c.planner.Plan(state, now)
	c.allocations = make([]shed.Allocation, 0, len(plan))
	c.surges.surplus = nil
	for class, admitFraction := range plan {
		allocation := shed.Allocation{Class: class, AdmitFraction: admitFraction, NoRetryFraction: c.planner.NoRetryFraction(class)}
		if class.Surplus {
			c.surges.surplus = append(c.surges.surplus, allocation)
		} else {
			c.allocations = append(c.allocations, allocation)
		}
	}
	if !c.disabled.Has(mechanism.OrganisationShares) {
		c.updateSurges(len(plan) > 0, now)
	}
	if len(plan) > 0 && now.Sub(c.observedAt) > minObserverInterval {
		c.observedAt = now
		c.observer.PlanLimited(c.planner.Shortages(), len(plan))
	}
}

// currentPlan returns this collector's own plan, or relays the plan of another collector that receives the reports of more daemons. That is
// the fleet's collector if this one collects for a group, or the regular collector if a daemon lost a packet to it and reported to this one
// instead. Without this, a plan would treat the few daemons that report here as the whole fleet.
func (c *Collector) currentPlan(hb Heartbeat, fleet Fleet, now time.Time) Plan {
	if c.relays(now) {
		plan := c.otherReply.Plan
		plan.Age = now.Sub(c.otherPlanMadeAt)
		return plan
	}
	reporting := c.demand.Daemons()
	c.rates.SetCoverage(reporting, fleet.Daemons+fleet.Departed, now)
	interval := Interval
	if fleet.Daemons > maxFlatDaemons {
		interval += GroupInterval
	}
	plan := Plan{
		Daemons: reporting, Rates: c.rates.Allocations(hb.Counts, now), Settled: c.rates.Settled(interval, now), Allocations: c.allocations,
		Surges: c.surges.listed, Surplus: c.surges.surplus,
	}
	c.observeRates(plan, fleet, now)
	return plan
}

// observeRates tells the observer which organisations the plan limits, at most once per minRatesInterval.
func (c *Collector) observeRates(plan Plan, fleet Fleet, now time.Time) {
	if now.Sub(c.ratesObservedAt) < minRatesInterval {
		return
	}
	limited := c.rates.Limited(plan.Rates, maxLimitedRates)
	if len(limited) == 0 {
		return
	}
	c.ratesObservedAt = now
	c.observer.RatesLimited(RateLimits{
		Organisations: limited, Reporting: plan.Daemons, Daemons: fleet.Daemons + fleet.Departed, CollectedFor: c.rates.Age(now), Settled: plan.Settled,
	})
}

// relays reports whether another collector's plan takes precedence over this collector's own.
func (c *Collector) relays(now time.Time) bool {
	return c.otherReply.Plan.Daemons > c.demand.Daemons() && now.Sub(c.otherPlanMadeAt) <= relayTTL
}

// recordLeaving records which daemons and instances are leaving.
func (c *Collector) recordLeaving(hb Heartbeat, now time.Time) {
	for _, host := range c.leavingDaemons.record(hb.From, hb.Leaving, now) {
		c.observer.DaemonLeaving(host)
	}
	c.leavingInstances.record(hb.From, hb.LeavingInstances, now)
}

// allLeavingDaemons returns the hosts whose daemons are shutting down, as reported to this collector or by the other collector whose reply is
// current.
func (c *Collector) allLeavingDaemons(now time.Time) []netip.Addr {
	all := c.leavingDaemons.current(now, everyDaemon)
	if now.Sub(c.otherPlanMadeAt) <= relayTTL {
		all = append(all, c.otherReply.Leaving...)
	}
	return sortUnique(all)
}

// allLeavingInstances returns the instances that are about to end, from the same reports.
func (c *Collector) allLeavingInstances(now time.Time) []routing.Incarnation {
	all := c.leavingInstances.current(now, everyDaemon)
	if now.Sub(c.otherPlanMadeAt) <= relayTTL {
		all = append(all, c.otherReply.LeavingInstances...)
	}
	slices.SortFunc(all, compareIncarnations)
	return slices.Compact(all)
}

func compareIncarnations(a, b routing.Incarnation) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), a.Born.Compare(b.Born))
}

// Apply records another collector's reply to a heartbeat that was sent at the given time, and returns when the reply's plan was made.
func (c *Collector) Apply(reply Reply, sent time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.otherReply, c.otherPlanMadeAt = reply, sent.Add(-reply.Plan.Age)
	return c.otherPlanMadeAt
}

// DropPlan discards the plan of another collector, which no longer replies.
func (c *Collector) DropPlan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.otherPlanMadeAt = time.Time{}
}

// FillGroup fills a heartbeat to the fleet's collector with the sums over the daemons that report to this collector. The members are the
// hosts whose daemons should report to it.
func (c *Collector) FillGroup(hb *Heartbeat, members []netip.Addr, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groupReportedAt = now
	c.monitor.setCollecting(true, now)
	hb.Group = true
	hb.Missing = c.monitor.missingOf(members, now)
	hb.Report = c.demand.Aggregate(now)
	hb.Counts, hb.CountedFor = c.rates.Totals(now)
	hb.Work, c.work = c.work, map[string]Work{}
	hb.Calls, hb.CertainlyCalled = c.graph.Edges().Clone(), c.graph.Certain(now)
	member := func(from netip.AddrPort) bool { return !c.demand.IsGroup(from) }
	hb.Leaving = append(hb.Leaving, c.leavingDaemons.current(now, member)...)
	hb.LeavingInstances = append(hb.LeavingInstances, c.leavingInstances.current(now, member)...)
}

// Reporters returns the hosts from whose daemons this collector has recently received heartbeats.
func (c *Collector) Reporters(now time.Time) []netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.monitor.reachable(now)
}

// SetGrants applies the retry grants of the fleet's collector to this group, in retries a second by service.
func (c *Collector) SetGrants(grants map[string]float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.SetGrants(grants, now)
}
