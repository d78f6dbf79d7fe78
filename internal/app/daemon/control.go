package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
	"github.com/foxtailhook/foxtailhook/internal/wire/platform"
)

// control owns the lists and the state of the other daemons. One goroutine uses it and publishes views for the
// goroutines that handle requests.
type control struct {
	daemon      *Daemon
	platform    *platform.Client
	set         *lists.Set
	archive     *spread.Archive
	core        *spread.Core
	members     *member.Table
	incarnation uint64
	leaving     bool
	// exchanging holds the peers with a digest in flight; a slow peer gets no second one.
	exchanging         map[netip.AddrPort]bool
	stopReading        context.CancelFunc
	reading            bool
	releasing          bool
	largeValueSeen     bool
	lastReleaseAt      time.Time
	lastLargeValueAt   time.Time
	membersPublishedAt time.Time

	tasks    chan func()
	failures chan hostFailure
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newControl(d *Daemon, p *platform.Client) *control {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	s := d.settings
	config := spread.Config{
		Host: s.Host, Region: s.Region, Zone: s.Zone, Seeds: s.Seeds, Watch: s.Watch, IsolationTime: s.IsolationTime,
	}
	c := &control{
		daemon:      d,
		platform:    p,
		set:         lists.NewSet(),
		archive:     &spread.Archive{},
		core:        spread.New(config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		members:     member.New(),
		incarnation: uint64(now.UnixNano()),
		exchanging:  map[netip.AddrPort]bool{},
		tasks:       make(chan func()),
		failures:    make(chan hostFailure, maxPendingFailures),
		ctx:         ctx,
		cancel:      cancel,
	}
	c.publishState(now)
	return c
}

func (c *control) start() {
	c.done.Go(c.run)
	c.done.Go(func() { c.daemon.dedup.keepConfirmed(c.ctx) })
}

func (c *control) stop() {
	c.cancel()
	c.done.Wait()
}

// tickInterval is the interval of the control goroutine's timed work. It is a twentieth of the pause after which a
// daemon's lists no longer count as current.
const tickInterval = 100 * time.Millisecond

func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case failure := <-c.failures:
			c.handleFailure(failure)
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
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

// apply puts a list into force if it is newer and valid, and announces it to peers at once.
func (c *control) apply(v lists.Value) {
	c.noteLargeValue(len(v.Raw))
	verdict, faults := c.set.Offer(v)
	entry := c.daemon.log.WithFields(logrus.Fields{"list": v.Kind.String(), "version": v.Version, "verdict": verdict.String()})
	now := time.Now()
	switch verdict {
	case lists.Accepted:
		entry.Info("list")
		c.archive.Store(v)
		if v.Kind == lists.KindHosts {
			c.applyHosts()
		}
		c.publish()
		c.perform(c.core.Accepted(v.Kind, v.Version, now, c.unusable), now)
	case lists.Rejected:
		entry.WithField("faults", faults).Error("list")
		c.core.Rejected(v.Kind, v.Version, now)
	case lists.Old:
	}
	c.publishState(now)
}

func (c *control) applyHosts() {
	hosts := c.set.View().Hosts()
	c.core.SetHosts(hosts)
	c.members.SetHosts(hosts)
}

func (c *control) publish() {
	view := c.set.View()
	c.daemon.rateLimiter.configure(view)
	c.daemon.dedup.observe(view, time.Now())
	c.daemon.view.Store(view)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (d *Daemon) peerFault(from netip.AddrPort, err error) {
	d.log.WithError(err).WithField("from", from.String()).Warn("peer connection closed")
	d.metrics.Counter(telemetry.PeerFaults).Inc(1)
}
