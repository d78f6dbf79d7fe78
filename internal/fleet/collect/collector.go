package collect

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// Notes is told what a collector finds out.
type Notes interface {
	// Planned is told of a plan that turns requests away, now and then.
	Planned(shortages []allot.Shortage, lanes int)
	// Leaves is told of a daemon that is about to end.
	Leaves(host netip.Addr)
}

// Fleet is what a daemon knows of the fleet when it collects.
type Fleet struct {
	// Daemons is how many there are by the list, and Members the hosts of those that should tell this one.
	Daemons int
	Members []netip.Addr
	// Shares returns the services of a route with their parts of its requests; nil while no configuration is known.
	Shares func(route string) map[string]float64
}

// Collector is what a daemon does for those that tell it of themselves; any daemon may be told.
type Collector struct {
	notes   Notes
	without mechanism.Set

	mu      sync.Mutex
	demand  *demand.Collector
	rates   *quota.Pool
	graph   *graph.Graph
	planner *allot.Planner
	parts   []shed.Allocation
	planned time.Time
	noted   time.Time
	// work is what the group's instances have done since its last beat.
	work map[string]Work
	// leaving are the hosts whose daemons are about to end, by who told of them last.
	leaving map[netip.AddrPort]leaving
	silence silence
	// grouped is when this daemon last told of a group.
	grouped time.Time
	// heard is the last answer of another collector, whose word was made at heardAt.
	heard   Reply
	heardAt time.Time
}

// leaving are hosts whose daemons are about to end, as one daemon told of them.
type leaving struct {
	hosts []netip.Addr
	at    time.Time
}

const (
	// planEvery is the least time between two plans: many daemons tell of themselves in each gap between beats.
	planEvery = 50 * time.Millisecond
	// noteEvery is the least time between two notes on plans.
	noteEvery = 500 * time.Millisecond
	// passOnTime is how old another collector's word may be to be passed on: two beats.
	passOnTime = 2 * Interval
	// leavingTime is how long the word of a leaving daemon counts: it is gone or back by then.
	leavingTime = 10 * time.Second
)

// New returns a collector that has heard of nobody.
func New(notes Notes, without mechanism.Set) *Collector {
	return &Collector{
		notes: notes, without: without, demand: demand.New(), rates: quota.NewPool(), graph: graph.New(), planner: allot.New(),
		work: map[string]Work{}, leaving: map[netip.AddrPort]leaving{}, silence: newSilence(),
	}
}

// Configure puts rates in force.
func (c *Collector) Configure(rates map[string]quota.Rate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rates.Configure(rates)
}

// Handle takes in a beat and answers what the collector knows; the rest of the answer is the caller's.
func (c *Collector) Handle(in Heartbeat, f Fleet, now time.Time) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.Update(in.From, in.Group, in.Report, now)
	c.rates.Update(in.From, in.Group, in.Counts, in.Up, now)
	c.graph.Merge(in.Calls)
	for service, w := range in.Work {
		c.worked(service, in, w, now)
	}
	c.plan(f, now)
	c.mark(in, now)
	c.silence.hear(in, now)
	return Reply{
		Plan: c.word(in, f.Daemons, now), Grants: c.demand.Grants(in.Report.RetryRates, in.Report.Daemons, now),
		Leaving: c.away(now), Missing: c.silent(f.Members, now),
	}
}

// silent returns the hosts whose daemons don't tell of themselves any more, by what is known here and by the collector that is heard.
func (c *Collector) silent(members []netip.Addr, now time.Time) []netip.Addr {
	listens := c.listens(now)
	c.silence.collects(listens, now)
	all := c.silence.inGroups(now)
	if listens {
		all = append(all, c.silence.among(members, now)...)
	}
	if now.Sub(c.heardAt) <= passOnTime {
		all = append(all, c.heard.Missing...)
	}
	return compact(all)
}

// listens reports whether this collector is the one that its members tell: not one that a daemon turned to after a lost packet.
func (c *Collector) listens(now time.Time) bool {
	return now.Sub(c.grouped) <= 2*Interval || !c.passesOn(now)
}

// compact sorts hosts and drops those that are named twice.
func compact(hosts []netip.Addr) []netip.Addr {
	slices.SortFunc(hosts, netip.Addr.Compare)
	return slices.Compact(hosts)
}

// worked takes in what instances have done.
func (c *Collector) worked(service string, in Heartbeat, w Work, now time.Time) {
	c.planner.RecordHoldTimes(service, in.From.Addr(), w.HoldTimes, now)
	if !c.without.Has(mechanism.PlannedRetries) {
		c.planner.RecordDeliveries(service, w.Delivered, w.Retryable, now)
	}
	if !in.Group {
		sum := c.work[service]
		sum.add(w)
		c.work[service] = sum
	}
}

// add sums up the work of instances; routes are few, so a list is enough.
func (w *Work) add(more Work) {
	w.Delivered += more.Delivered
	w.Retryable += more.Retryable
	for _, h := range more.HoldTimes {
		w.hold(h)
	}
}

func (w *Work) hold(more allot.HoldTime) {
	for n := range w.HoldTimes {
		if w.HoldTimes[n].Route == more.Route {
			w.HoldTimes[n].Seconds += more.Seconds
			w.HoldTimes[n].Count += more.Count
			return
		}
	}
	w.HoldTimes = append(w.HoldTimes, more)
}

// plan works out anew which part of each lane the fleet can do.
func (c *Collector) plan(f Fleet, now time.Time) {
	if f.Shares == nil || now.Sub(c.planned) < planEvery || c.passesOn(now) {
		return
	}
	c.planned = now
	state := allot.State{
		Demand: c.demand.Demand(), CallGraph: c.graph.Edges(), Shares: f.Shares, RetryRates: c.demand.RetryRates(now), Instances: c.demand.Instances(),
	}
	state.Saturation, state.Slots = c.demand.Services()
	plan := c.planner.Plan(state, now)
	c.parts = make([]shed.Allocation, 0, len(plan))
	for l, open := range plan {
		c.parts = append(c.parts, shed.Allocation{Class: l, AdmitFraction: open})
	}
	if len(plan) > 0 && now.Sub(c.noted) > noteEvery {
		c.noted = now
		c.notes.Planned(c.planner.Shortages(), len(plan))
	}
}

// word returns what is known here, or the word of another collector that hears more daemons: that of the fleet, where this one collects
// for a group, or of the one that a daemon lost a packet to when it told this one of itself. By its own, the few that it hears would be
// the fleet.
func (c *Collector) word(in Heartbeat, daemons int, now time.Time) Plan {
	if c.passesOn(now) {
		out := c.heard.Plan
		out.Age = now.Sub(c.heardAt)
		return out
	}
	heard := c.demand.Daemons()
	c.rates.SetCoverage(heard, daemons)
	gap := Interval
	if daemons > flatMost {
		gap += GroupInterval
	}
	return Plan{Daemons: heard, Rates: c.rates.Allocations(in.Counts, now), Settled: c.rates.Settled(gap, now), Allocations: c.parts}
}

// passesOn reports whether another collector's word goes before what is known here.
func (c *Collector) passesOn(now time.Time) bool {
	return c.heard.Plan.Daemons > c.demand.Daemons() && now.Sub(c.heardAt) <= passOnTime
}

// mark keeps who leaves.
func (c *Collector) mark(in Heartbeat, now time.Time) {
	if len(in.Leaving) == 0 {
		delete(c.leaving, in.From)
		return
	}
	for _, h := range in.Leaving {
		if !slices.Contains(c.leaving[in.From].hosts, h) {
			c.notes.Leaves(h)
		}
	}
	c.leaving[in.From] = leaving{in.Leaving, now}
}

// away returns the hosts whose daemons are about to end, by what was told here and by the collector that is heard.
func (c *Collector) away(now time.Time) []netip.Addr {
	maps.DeleteFunc(c.leaving, func(_ netip.AddrPort, l leaving) bool { return now.Sub(l.at) > leavingTime })
	var all []netip.Addr
	for _, l := range c.leaving {
		all = append(all, l.hosts...)
	}
	if now.Sub(c.heardAt) <= passOnTime {
		all = append(all, c.heard.Leaving...)
	}
	return compact(all)
}

// Apply takes in another collector's answer to a beat that was sent then, and returns when its word was made.
func (c *Collector) Apply(a Reply, sent time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard, c.heardAt = a, sent.Add(-a.Plan.Age)
	return c.heardAt
}

// DropPlan drops the word of another collector, which doesn't answer any more.
func (c *Collector) DropPlan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = time.Time{}
}

// FillGroup fills in what the daemons that tell this collector of themselves see together, for the fleet's collector; members are all that
// should.
func (c *Collector) FillGroup(b *Heartbeat, members []netip.Addr, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grouped = now
	c.silence.collects(true, now)
	b.Group = true
	b.Missing = c.silence.among(members, now)
	b.Report = c.demand.Aggregate(now)
	b.Counts, b.Up = c.rates.Totals(now)
	b.Work, c.work = c.work, map[string]Work{}
	b.Calls = c.graph.Edges().Clone()
	for from, l := range c.leaving {
		if now.Sub(l.at) <= leavingTime && !c.demand.IsGroup(from) {
			b.Leaving = append(b.Leaving, l.hosts...)
		}
	}
}

// Heard returns the hosts whose daemons have told this collector of themselves lately.
func (c *Collector) Heard(now time.Time) []netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.heard(now)
}

// SetGrants takes in what the fleet's collector lets the group send once more.
func (c *Collector) SetGrants(grants map[string]float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.SetGrants(grants, now)
}
