package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/platform"
)

// control is the one thread that owns the lists; it publishes views for the traffic threads.
type control struct {
	daemon   *Daemon
	platform *platform.Client
	set      *lists.Set
	offers   chan lists.Value
	asks     chan func()
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newControl(d *Daemon, p *platform.Client) *control {
	ctx, cancel := context.WithCancel(context.Background())
	return &control{
		daemon:   d,
		platform: p,
		set:      lists.NewSet(),
		offers:   make(chan lists.Value),
		asks:     make(chan func()),
		ctx:      ctx,
		cancel:   cancel,
	}
}

func (c *control) start() {
	c.done.Go(c.run)
	c.done.Go(func() { c.daemon.repeats.confirm(c.ctx) })
	for k := range lists.Kinds {
		c.done.Go(func() { c.watch(lists.Kind(k)) })
	}
}

func (c *control) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *control) run() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case v := <-c.offers:
			c.offer(v)
		case ask := <-c.asks:
			ask()
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

func (c *control) offer(v lists.Value) {
	verdict, faults := c.set.Offer(v)
	entry := c.daemon.log.WithFields(logrus.Fields{"list": v.Kind.String(), "version": v.Version, "verdict": verdict.String()})
	switch verdict {
	case lists.Accepted:
		entry.Info("list")
		c.publish()
	case lists.Rejected:
		entry.WithField("faults", faults).Error("list")
	case lists.Old:
	}
}

func (c *control) publish() {
	view := c.set.View()
	c.daemon.rates.configure(view)
	c.daemon.repeats.observe(view, time.Now())
	c.daemon.view.Store(view)
}

const (
	retryLeast  = 200 * time.Millisecond
	retrySpread = 800 * time.Millisecond
)

// watch follows one list for as long as the daemon runs. After a failure it
// waits a random time, so that the end of an outage starts no stampede.
func (c *control) watch(kind lists.Kind) {
	var after uint64
	for c.ctx.Err() == nil {
		v, err := c.platform.Watch(c.ctx, kind, after, c.daemon.settings.Watch)
		if err == nil {
			after = max(after, v.Version)
			select {
			case c.offers <- v:
			case <-c.ctx.Done():
			}
			continue
		}
		if !errors.Is(err, platform.ErrUnchanged) {
			c.daemon.log.WithError(err).Debug("platform")
			sleep(c.ctx, retryLeast+rand.N(retrySpread))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (d *Daemon) peerFault(from netip.AddrPort, err error) {
	d.log.WithError(err).WithField("from", from.String()).Warn("peer connection closed")
	d.metrics.Scope.Counter("peer_faults").Inc(1)
}
