package router

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/fleet/fresh"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// control is the one thread that owns the catalog; it publishes views for the traffic threads.
type control struct {
	router  *Router
	source  Source
	catalog *catalog.Catalog
	// lastTrouble is when the store last failed to answer for a while.
	lastTrouble time.Time
	fresh       fresh.State
	asks        chan func()
	// wanted are daemons that know something newer.
	wanted chan netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

const (
	// lookEvery is how often the control thread looks at the clock.
	lookEvery = 200 * time.Millisecond
	// fetchTime bounds a question to another daemon.
	fetchTime = 400 * time.Millisecond
)

func newControl(r *Router, source Source) *control {
	ctx, cancel := context.WithCancel(context.Background())
	return &control{router: r, source: source, catalog: catalog.New(), asks: make(chan func()), wanted: make(chan netip.AddrPort, 1), ctx: ctx, cancel: cancel}
}

func (c *control) start() {
	c.done.Go(c.run)
	c.done.Go(c.watch)
	c.done.Go(c.fetchWanted)
}

func (c *control) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *control) run() {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case ask := <-c.asks:
			ask()
		case now := <-ticker.C:
			if c.catalog.Expire(now) {
				c.publish(now)
				c.tell("lapsed")
			}
			c.router.owner.instance.Sweep(now)
			c.router.callers.EndIdle(now)
		}
	}
}

// ask runs f on the control thread and waits for it; false means that the thread has ended.
func (c *control) ask(f func()) bool {
	done := make(chan struct{})
	select {
	case c.asks <- func() { f(); close(done) }:
		<-done
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fetch takes over what another daemon knows beyond this one.
func (c *control) fetch(from netip.AddrPort) {
	if got, ok := c.request(from, fetchTime); ok {
		c.offer(got.Changes, from.String())
	}
}

// request asks another daemon for what it knows beyond this one.
func (c *control) request(from netip.AddrPort, limit time.Duration) (fetched, bool) {
	view := c.router.view.Load()
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	got, err := peer.Call[fetch, fetched](ctx, c.router.peers, from, peer.KindChanges, fetch{Version: version(view), Revision: view.Revision})
	if err != nil {
		c.router.log.WithError(err).WithField("from", from.String()).Debug("fetch")
	}
	return got, err == nil
}

// later asks another daemon soon; while a question is going on, its answer may have the same.
func (c *control) later(from netip.AddrPort) {
	select {
	case c.wanted <- from:
	default:
	}
}

func (c *control) fetchWanted() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case from := <-c.wanted:
			c.fetch(from)
		}
	}
}

func version(v *catalog.View) uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

func (c *control) takeFetch(_ context.Context, _ netip.AddrPort, f fetch) fetched {
	now := time.Now()
	out := fetched{StoreAge: min(c.fresh.Age(now), c.fresh.CollectorAge(now))}
	c.ask(func() {
		out.Changes = c.catalog.Since(f.Version, f.Revision, now)
		out.Whole = c.catalog.Version() > 0 && len(c.catalog.Instances()) > 0
	})
	return out
}

// storeName is the store among those from whom changes come. What other daemons have dropped is gone: they have waited.
const storeName = "store"

// offer takes changes into the catalog and publishes what they change.
func (c *control) offer(ch catalog.Changes, from string) {
	c.ask(func() {
		now := time.Now()
		back := time.Time{}
		if from == storeName && !c.lastTrouble.IsZero() {
			back = c.lastTrouble.Add(catalog.ReturnTime)
		}
		out := c.catalog.Offer(ch, now, back)
		for _, e := range ch.Entries {
			if e.Fault != "" {
				c.router.log.WithFields(logrus.Fields{"key": e.Key, "revision": e.Revision, "fault": e.Fault}).Warn("entry not used")
			}
		}
		if out.Rejected != nil {
			c.router.log.WithError(out.Rejected).WithField("revision", ch.Revision).Error("configuration rejected")
		}
		if len(out.Faults) > 0 {
			c.router.log.WithFields(logrus.Fields{
				"version": c.catalog.Version(), "count": len(out.Faults), "faults": out.Faults[:min(len(out.Faults), mostFaultsTold)],
			}).Warn("configuration with faults")
		}
		if out.Configured || out.Instances {
			c.publish(now)
			c.tell(from)
		}
		if out.Configured {
			c.configure()
		}
		if out.Configured && from == storeName {
			// Daemons that the store turns away have it from the collector, which may be one of them.
			c.router.beats.tell()
		}
	})
}

// mostFaultsTold bounds the log line on a configuration of which much is faulty.
const mostFaultsTold = 20

// tell logs what the daemon believes now, and from whom it has it.
func (c *control) tell(from string) {
	draining := []string{}
	for _, i := range c.catalog.Instances() {
		if i.Draining {
			draining = append(draining, i.ID)
		}
	}
	c.router.log.WithFields(logrus.Fields{
		"from": from, "version": c.catalog.Version(), "revision": c.catalog.Revision(), "instances": len(c.catalog.Instances()), "draining": draining,
	}).Info("catalog")
}

// publish makes the catalog's state the one that traffic sees.
func (c *control) publish(now time.Time) {
	r := c.router
	v := c.catalog.View(r.view.Load())
	r.view.Store(v)
	r.chooser.SetInstances(c.catalog.Instances(), now)
	own, known := v.At(r.settings.Instance)
	r.owner.observe(own, known)
	daemons := len(v.Hosts())
	r.quota.SetDaemons(daemons)
	r.repeats.SetDaemons(daemons)
	r.metrics.Gauge(telemetry.ListVersion).Update(float64(version(v)))
}

func (c *control) configure() {
	rates := map[string]quota.Rate{}
	for _, o := range c.catalog.Config().Organisations {
		rates[o.Name] = rateOf(o)
	}
	c.router.quota.Configure(rates)
	c.router.beats.collector.Configure(rates)
	limits := c.catalog.Config().Limits
	c.router.callers.SetBounds(httpd.Bounds{
		HeadBytes: limits.HeadBytes, HeadTime: limits.HeadTime, BodyBytes: limits.BodyBytes, IdleTime: limits.IdleTimeout,
	})
}

func rateOf(o routing.Organisation) quota.Rate {
	return quota.Rate{PerSecond: o.Rate, Burst: max(o.Burst, 1)}
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
