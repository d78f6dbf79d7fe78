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
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// reporter tell a collector, which is one of the daemons, what this daemon sees and knows, and learn what all see.
//
// Nothing between daemons lasts or has to agree: a collector that is gone is replaced by the next in an order that all daemons
// compute alike, and has heard from everybody within one beat.
type reporter struct {
	router    *Router
	collector *collect.Collector
	now       chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup

	began time.Time
	// beaten is when the daemon sent its last beat, in nanoseconds of the clock.
	beaten atomic.Int64
	layout atomic.Pointer[layout]
	// settled tells that a collector's word on rates was heard; until then beats are as close as they may be.
	settled bool

	mu sync.Mutex
	// gone are the hosts whose daemons leave or are silent, by the collector's last word, and silent how many of the latter.
	gone   map[netip.Addr]bool
	silent int
	// avoided are collectors that did not answer, with when they are asked again.
	avoided map[netip.Addr]time.Time
}

// layout is that of a view.
type layout struct {
	*collect.Topology
	view *catalog.View
}

const (
	// beatTime bounds one beat: a round trip between zones, and a lost packet.
	beatTime = 400 * time.Millisecond
	// avoidTime is how long a collector that did not answer is passed over.
	avoidTime = 3 * time.Second
	// earlyBeats is how many beats there may be at most in the usual gap between two.
	earlyBeats = 3
	// collectorsTried is how many are told at most in one beat, the first in the order and those behind it while it doesn't answer.
	collectorsTried = 3
	// readers is how many daemons follow the store, the first in the order of collectors. The others hear of changes with
	// their next beat: each change would cost a call of every daemon otherwise.
	readers = 3
)

func newReporter(r *Router) *reporter {
	ctx, cancel := context.WithCancel(context.Background())
	b := &reporter{router: r, now: make(chan struct{}, 1), ctx: ctx, cancel: cancel, began: time.Now(), avoided: map[netip.Addr]time.Time{}}
	b.collector = collect.New(b, r.settings.Without)
	return b
}

func (b *reporter) start() { b.done.Go(b.run) }

func (b *reporter) stop() {
	b.cancel()
	b.done.Wait()
}

// tell asks for a beat right now.
func (b *reporter) tell() {
	select {
	case b.now <- struct{}{}:
	default:
	}
}

// soon asks for a beat before its time, though not for more than some between two.
func (b *reporter) soon(now time.Time) {
	if now.Sub(time.Unix(0, b.beaten.Load())) >= collect.Interval/earlyBeats {
		b.tell()
	}
}

func (b *reporter) run() {
	for b.ctx.Err() == nil {
		gap := collect.Interval
		if l := b.laidOut(); l.Size() > 0 && b.beat(l) {
			gap = collect.GroupInterval
		}
		if !b.settled {
			gap = min(gap, collect.Interval/earlyBeats)
		}
		select {
		case <-b.ctx.Done():
		case <-b.now:
		case <-time.After(gap):
		}
	}
}

// laidOut returns the layout of the fleet as it is listed now.
func (b *reporter) laidOut() *layout {
	view := b.router.view.Load()
	if l := b.layout.Load(); l != nil && l.view == view {
		return l
	}
	instances := view.Instances()
	hosts := make([]collect.Host, 0, len(instances))
	for _, i := range instances {
		hosts = append(hosts, collect.Host{Address: i.Address.Addr(), Zone: i.Zone})
	}
	l := &layout{collect.NewTopology(hosts), view}
	b.layout.Store(l)
	return l
}

// beat tells the first collector that answers; true means that this daemon collects for a group.
func (b *reporter) beat(l *layout) bool {
	sent := time.Now()
	b.beaten.Store(sent.UnixNano())
	self := b.router.settings.Peers.Addr()
	first := l.Group(self, collectorsTried, b.usable(sent))
	collects := !l.Flat() && len(first) > 0 && first[0] == self
	if collects {
		b.beatForGroup(l, sent)
	}
	own := b.own(l.view, sent)
	if len(first) > 0 && first[0] != self {
		own.Heard = b.collector.Heard(sent)
	}
	for _, host := range first {
		if back, ok := b.send(host, own); ok {
			b.learn(host, own, back, sent)
			break
		}
	}
	return collects
}

// own is what this daemon tells of itself.
func (b *reporter) own(view *catalog.View, now time.Time) collect.Heartbeat {
	r := b.router
	leaving := r.closed.Load()
	seen, work := r.owner.tell(leaving, now)
	out := collect.Heartbeat{
		From: r.settings.Peers, Version: version(view), Revision: view.Revision, StoreAge: r.control.fresh.Age(now),
		Up: now.Sub(b.began), Counts: r.quota.Report(now),
		Report: demand.Report{
			Daemons: 1, Services: map[string]demand.Service{r.settings.Service: seen}, Demand: r.shedder.Demand(now), RetryRates: r.repeats.Report(now),
		},
		Work: map[string]collect.Work{r.settings.Service: work}, Calls: r.owner.runs.Calls(),
	}
	if leaving {
		out.Leaving = []netip.Addr{r.settings.Peers.Addr()}
	}
	return out
}

// beatForGroup tells the fleet's collector of the group, unless that is this daemon.
func (b *reporter) beatForGroup(l *layout, sent time.Time) {
	all := collect.Heartbeat{
		From: b.router.settings.Peers, Version: version(l.view), Revision: l.view.Revision, StoreAge: b.router.control.fresh.BestAge(sent),
	}
	for _, host := range l.Fleet(collectorsTried, b.usable(sent)) {
		if host == b.router.settings.Peers.Addr() {
			return
		}
		if !all.Group {
			b.collector.FillGroup(&all, l.Members(b.router.settings.Peers.Addr()), sent)
		}
		if back, ok := b.send(host, all); ok {
			b.collector.Apply(back, sent)
			b.collector.SetGrants(back.Grants, sent)
			b.catchUp(host, all, back, sent)
			return
		}
	}
}

// send sends the beat to the daemon on the host, which is passed over for a while if it doesn't answer.
func (b *reporter) send(host netip.Addr, own collect.Heartbeat) (collect.Reply, bool) {
	if host == b.router.settings.Peers.Addr() {
		return b.take(b.ctx, b.router.settings.Peers, own), true
	}
	ctx, cancel := context.WithTimeout(b.ctx, beatTime)
	defer cancel()
	back, err := peer.Call[collect.Heartbeat, collect.Reply](ctx, b.router.peers, b.router.peerOf(host), peer.KindHeartbeat, own)
	if err != nil {
		b.avoid(host, err)
	}
	return back, err == nil
}

// usable tells which hosts can be told, leaving out those that did not answer lately.
func (b *reporter) usable(now time.Time) func(netip.Addr) bool {
	return func(host netip.Addr) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return !now.Before(b.avoided[host])
	}
}

func (b *reporter) avoid(host netip.Addr, err error) {
	b.collector.DropPlan()
	b.mu.Lock()
	b.avoided[host] = time.Now().Add(avoidTime)
	b.mu.Unlock()
	if b.ctx.Err() == nil {
		b.router.log.WithError(err).WithField("host", host.String()).Info("collector lost")
	}
}

// reads reports whether this daemon must follow the store itself: it is one of the readers, or hears nothing current from them.
func (b *reporter) reads(now time.Time) bool {
	return b.laidOut().Position(b.router.settings.Peers.Addr()) < readers || !b.router.control.fresh.Current(now)
}

// learn takes in what the collector answered.
func (b *reporter) learn(host netip.Addr, own collect.Heartbeat, back collect.Reply, sent time.Time) {
	made := sent.Add(-back.Plan.Age)
	if host != b.router.settings.Peers.Addr() {
		b.collector.Apply(back, sent)
		b.catchUp(host, own, back, sent)
	}
	b.settled = b.settled || back.Plan.Settled
	if back.Plan.Settled {
		b.router.quota.Apply(back.Plan.Rates, made)
	}
	without := b.router.settings.Without
	if !without.Has(mechanism.Plan) {
		b.router.shedder.Apply(back.Plan.Allocations, made)
	}
	if !without.Has(mechanism.LentRetries) {
		b.router.repeats.Apply(back.Grants, own.Report.RetryRates, sent)
	}
	b.router.metrics.Gauge(telemetry.WordAge).Update(time.Since(made).Seconds())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone = make(map[netip.Addr]bool, len(back.Leaving)+len(back.Missing))
	for _, h := range slices.Concat(back.Leaving, back.Missing) {
		b.gone[h] = true
	}
	b.noteSilent(back.Missing)
}

// catchUp takes in how fresh the collector's knowledge of the store is, and asks for what it knows beyond this daemon's.
func (b *reporter) catchUp(host netip.Addr, own collect.Heartbeat, back collect.Reply, sent time.Time) {
	b.router.control.fresh.ObserveCollector(sent, back.StoreAge)
	if back.Version > own.Version || back.Revision > own.Revision {
		b.router.control.fetch(b.router.peerOf(host))
	}
}

// noteSilent logs how many daemons are silent when that changes.
func (b *reporter) noteSilent(hosts []netip.Addr) {
	if len(hosts) == b.silent {
		return
	}
	b.silent = len(hosts)
	named := make([]string, 0, mostNamed)
	for _, h := range hosts[:min(len(hosts), mostNamed)] {
		named = append(named, h.String())
	}
	b.router.log.WithFields(logrus.Fields{"count": len(hosts), "hosts": named}).Info("daemons silent")
}

// mostNamed bounds the hosts in one log line.
const mostNamed = 20

// away reports whether the daemon on the host has said that it leaves, or doesn't tell of itself any more.
func (b *reporter) away(host netip.Addr) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gone[host]
}
