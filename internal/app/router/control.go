package router

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/bootstrap"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/fleet/fresh"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// control owns the catalog, which only its goroutine touches, and publishes views for the goroutines that serve requests.
type control struct {
	router  *Router
	source  Source
	catalog *catalog.Catalog
	// lastOutageAt is the latest time at which the configuration store was known to be in an outage.
	lastOutageAt time.Time
	// drainedZones are the availability zones that were drained when they were last logged.
	drainedZones []string
	fresh        fresh.State
	// takeover decides when this daemon follows the configuration store although it isn't one of the regular readers.
	takeover  *fresh.Takeover
	loader    *bootstrap.Loader
	announcer *bootstrap.Announcer
	copies    *bootstrap.Limiter
	tasks     chan func()
	// fetchQueue holds the address of a daemon that reported something newer.
	fetchQueue chan netip.AddrPort
	ctx        context.Context
	cancel     context.CancelFunc
	done       sync.WaitGroup
	// lastTick is when the last periodic work began.
	lastTick time.Time
	// peerBytes reports the traffic between daemons, last at peerBytesAt.
	peerBytes   telemetry.PeerBytes
	peerBytesAt time.Time
}

const (
	// tickInterval is how often the control goroutine does periodic work.
	tickInterval = 200 * time.Millisecond
	// peerBytesInterval is how often the traffic between daemons is reported.
	peerBytesInterval = time.Second
	// fetchTimeout bounds a fetch from another daemon.
	fetchTimeout = 400 * time.Millisecond
)

func newControl(r *Router, source Source) *control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{
		router: r, source: source, catalog: catalog.New(), takeover: fresh.NewRandomTakeover(), copies: bootstrap.NewLimiter(r.settings.LinkBytes),
		tasks: make(chan func()), fetchQueue: make(chan netip.AddrPort, 1), ctx: ctx, cancel: cancel,
	}
	c.loader = bootstrap.NewLoader(c, r.settings.Peers, r.settings.Seeds)
	c.announcer = bootstrap.NewAnnouncer(c, r.settings.Peers)
	return c
}

func (c *control) start() {
	c.done.Go(c.run)
	c.done.Go(c.watch)
	c.done.Go(c.fetchQueued)
	c.done.Go(c.followCrashes)
}

func (c *control) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-ticker.C:
			// The ticker's own time may be from before a pause.
			now := time.Now()
			c.noticePause(now)
			if c.catalog.Expire(now) {
				c.publish()
				c.logCatalog("lapsed")
			}
			c.router.executor.tick(now)
			c.router.callers.EndIdle(now)
			c.reportPeerBytes(now)
			c.logUsage(now)
		}
	}
}

func (c *control) reportPeerBytes(now time.Time) {
	if now.Sub(c.peerBytesAt) < peerBytesInterval {
		return
	}
	c.peerBytesAt = now
	c.peerBytes.Report(c.router.metrics.Scope, c.router.peers.Traffic())
	c.router.memory.Report()
}

// do runs f on the control goroutine and waits for it; false means that the goroutine has ended.
func (c *control) do(f func()) bool {
	done := make(chan struct{})
	select {
	case c.tasks <- func() { f(); close(done) }:
		<-done
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fetch applies what another daemon has beyond this one.
func (c *control) fetch(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	if reply, ok := c.requestChanges(ctx, from, forChanges); ok {
		c.applyChanges(reply.Changes, from.String())
	}
}

// requestChanges asks another daemon for what it has beyond this one.
func (c *control) requestChanges(ctx context.Context, from netip.AddrPort, purpose fetchPurpose) (fetchReply, bool) {
	view := c.router.view.Load()
	request := fetchRequest{Version: version(view), Revision: view.Revision, Purpose: purpose}
	reply, err := peer.Call[fetchRequest, fetchReply](ctx, c.router.peers, from, peer.KindChanges, request)
	if err != nil {
		c.router.log.WithError(err).WithField("from", from.String()).Debug("fetch")
	}
	return reply, err == nil
}

// fetchLater queues a fetch from another daemon. It drops the fetch if one is queued already, whose reply may have the same.
func (c *control) fetchLater(from netip.AddrPort) {
	select {
	case c.fetchQueue <- from:
	default:
	}
}

func (c *control) fetchQueued() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case from := <-c.fetchQueue:
			c.fetch(from)
		}
	}
}

func version(view *catalog.View) uint64 {
	if view.Table == nil {
		return 0
	}
	return view.Table.Version()
}

func (c *control) handleFetch(_ context.Context, _ netip.AddrPort, req fetchRequest) fetchReply {
	now := time.Now()
	view := c.router.view.Load()
	reply := fetchReply{StoreAge: min(c.fresh.Age(now), c.fresh.CollectorAge(now)), Whole: view.Complete(), Daemons: len(view.Hosts())}
	switch {
	case req.Purpose == forStart && (!reply.current() || !reply.Whole):
		return reply
	case req.Purpose == forStart && !c.copies.Allow(view.CopyBytes(), now):
		reply.Busy = true
		c.announce("busy")
		return reply
	case req.Purpose == forAnnounced && req.Revision == 0:
		c.copies.Count(view.CopyBytes(), now)
	}
	c.do(func() { reply.Changes = c.catalog.Since(req.Version, req.Revision, now) })
	return reply
}

// storeName names the configuration store as the sender of changes. Only its removals get a grace period after an outage: what other
// daemons have dropped is final, since they have already waited.
const storeName = "store"

// applyChanges adds changes to the catalog and publishes the result.
func (c *control) applyChanges(changes catalog.Changes, from string) {
	c.do(func() {
		now := time.Now()
		graceEnd := time.Time{}
		if from == storeName && !c.lastOutageAt.IsZero() {
			graceEnd = c.lastOutageAt.Add(catalog.ReturnGrace)
		}
		outcome := c.catalog.Apply(changes, now, graceEnd)
		c.logFaulty(outcome.Faulty)
		if outcome.Rejected != nil {
			c.router.log.WithError(outcome.Rejected).WithField("revision", changes.Revision).Error("configuration rejected")
		}
		if len(outcome.Faults) > 0 {
			c.router.log.WithFields(logrus.Fields{
				"version": c.catalog.Version(), "count": len(outcome.Faults), "faults": outcome.Faults[:min(len(outcome.Faults), maxLoggedFaults)],
			}).Warn("configuration with faults")
		}
		if outcome.Configured || outcome.Instances {
			c.publish()
			c.logCatalog(from)
		} else if view := c.router.view.Load(); c.catalog.Revision() > view.Revision {
			// Otherwise this daemon would ask for the same revision again with each heartbeat.
			c.router.view.Store(view.AtRevision(c.catalog.Revision()))
		}
		c.setLoaded(from)
		if outcome.Configured {
			c.configure()
		}
		if outcome.Configured && from == storeName {
			// Daemons that the store refuses get the configuration from the collector, which may be refused itself.
			c.router.reporter.trigger()
		}
	})
}

// logFaulty logs the entries that can't be used, and those that were understood only in part. Of a list in which hundreds are faulty it names
// the first ones.
func (c *control) logFaulty(entries []catalog.Entry) {
	if further := len(entries) - maxLoggedFaults; further > 0 {
		c.router.log.WithField("count", further).Warn("further faulty entries")
		entries = entries[:maxLoggedFaults]
	}
	for _, entry := range entries {
		fields := logrus.Fields{"key": entry.Key, "revision": entry.Revision}
		if entry.Fault != "" {
			c.router.log.WithFields(fields).WithField("fault", entry.Fault).Warn("entry not used")
		}
		if entry.Note != "" {
			c.router.log.WithFields(fields).WithField("fault", entry.Note).Warn("entry used in part")
		}
	}
}

// maxLoggedFaults bounds the faults in one log line on a faulty configuration, and the faulty entries that are logged one by one.
const maxLoggedFaults = 20

// logCatalog logs the state of the catalog and the sender of the last change.
func (c *control) logCatalog(from string) {
	draining := []string{}
	instances := c.router.view.Load().Instances()
	for _, inst := range instances {
		if inst.Draining {
			draining = append(draining, inst.ID)
		}
	}
	c.router.log.WithFields(logrus.Fields{
		"from": from, "version": c.catalog.Version(), "revision": c.catalog.Revision(), "instances": len(instances), "draining": draining,
	}).Info("catalog")
}

// logDrainedZones logs the availability zones that are drained, or no longer, since the last call.
func (c *control) logDrainedZones(view *catalog.View) {
	now := view.DrainedZones()
	for _, zone := range now {
		if !slices.Contains(c.drainedZones, zone) {
			c.router.log.WithFields(logrus.Fields{"drainedZone": zone, "instances": view.CountIn(zone), "revision": view.Revision}).Info("zone drained")
		}
	}
	for _, zone := range c.drainedZones {
		if !slices.Contains(now, zone) {
			c.router.log.WithFields(logrus.Fields{"drainedZone": zone, "instances": view.CountIn(zone), "revision": view.Revision}).Info("zone restored")
		}
	}
	c.drainedZones = now
}

// publish makes the catalog's current state visible to the goroutines that serve requests.
func (c *control) publish() {
	r := c.router
	before := r.view.Load()
	view := c.catalog.View(before)
	r.view.Store(view)
	r.unlisted.update(before, view, time.Now())
	r.samplers.Store(samplersOf(view, r.settings.Zone))
	r.balancer.SetInstances(view.Instances())
	r.told.retain(view.Instances())
	own, known := view.At(r.settings.Instance)
	local := localState{instance: own, known: known, zoneDrained: view.ZoneDrained(r.settings.Zone), configured: view.Table != nil}
	if local.configured {
		local.service, local.table = view.Table.Config().Services[r.settings.Service], view.Table
	}
	r.executor.apply(local)
	c.logDrainedZones(view)
	r.metrics.Gauge(telemetry.ZonesDrained).Update(float64(len(view.DrainedZones())))
	daemons := len(view.Hosts())
	r.quota.SetDaemons(daemons)
	r.retryBudget.SetDaemons(daemons)
	r.metrics.Gauge(telemetry.ListVersion).Update(float64(version(view)))
}

func (c *control) configure() {
	rates := map[string]quota.RateLimit{}
	for _, organisation := range c.catalog.Config().Organisations {
		rates[organisation.Name] = rateOf(organisation)
	}
	c.router.quota.Configure(rates)
	c.router.reporter.collector.Configure(rates)
	limits := c.catalog.Config().Limits
	c.router.callers.SetBounds(httpd.Bounds{
		HeadBytes: limits.HeadBytes, HeadTime: limits.HeadTime, BodyBytes: limits.BodyBytes, IdleTime: limits.IdleTimeout,
	})
}

func rateOf(organisation routing.Organisation) quota.RateLimit {
	return quota.RateLimit{PerSecond: organisation.Rate, Burst: max(organisation.Burst, 1)}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Router) peerFault(from netip.AddrPort, err error) {
	r.log.WithError(err).WithField("from", from.String()).Warn("peer connection closed")
	r.metrics.Counter(telemetry.PeerFaults).Inc(1)
}
