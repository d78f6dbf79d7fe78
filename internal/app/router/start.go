package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/fleet/bootstrap"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/fleet/fresh"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// current reports whether the daemon that replied has current information from the store.
func (reply *fetchReply) current() bool { return reply.StoreAge < fresh.MaxAge }

// load waits until another daemon has sent what is published, and returns its revision. It returns 0 if this daemon must read the store.
func (c *control) load() uint64 {
	if c.loader.Wait(c.ctx) {
		return c.router.view.Load().Revision
	}
	c.takeover.Begin(time.Now())
	return 0
}

// readAll reads everything from the store. While this daemon has no configuration, it stops as soon as another daemon has sent one.
func (c *control) readAll() (catalog.Changes, error) {
	ctx, cancel := c.loader.UntilLoaded(c.ctx)
	defer cancel()
	return c.source.Read(ctx)
}

// Fetch implements bootstrap.Fetcher.
func (c *control) Fetch(ctx context.Context, from netip.AddrPort) bootstrap.Reply {
	sent := time.Now()
	reply, ok := c.requestChanges(ctx, from, forStart)
	switch {
	case !ok, !reply.current() && !reply.Whole:
		return bootstrap.Reply{Outcome: bootstrap.Unavailable}
	case !reply.current():
		return bootstrap.Reply{Outcome: bootstrap.Outdated, Daemons: reply.Daemons}
	case !reply.Whole || reply.Busy:
		return bootstrap.Reply{Outcome: bootstrap.Current}
	}
	c.applyCopy(reply, from, sent)
	return bootstrap.Reply{Outcome: bootstrap.Loaded}
}

// FetchAnnounced implements bootstrap.Daemon.
func (c *control) FetchAnnounced(ctx context.Context, from netip.AddrPort) {
	sent := time.Now()
	if reply, ok := c.requestChanges(ctx, from, forAnnounced); ok && reply.Whole {
		c.applyCopy(reply, from, sent)
	}
}

// applyCopy applies what another daemon has, and reports to the collector at once.
func (c *control) applyCopy(reply fetchReply, from netip.AddrPort, sent time.Time) {
	c.fresh.ObserveCollector(sent, reply.StoreAge)
	c.applyChanges(reply.Changes, from.String())
	c.router.reporter.trigger()
}

// Has implements bootstrap.Daemon.
func (c *control) Has(announced bootstrap.Announcement) bool {
	return statedState{version: announced.Version, revision: announced.Revision}.reachedBy(c.router.view.Load())
}

// Tree implements bootstrap.Daemon.
func (c *control) Tree() bootstrap.Tree { return c.router.reporter.topology() }

// SendAnnouncement implements bootstrap.Daemon.
func (c *control) SendAnnouncement(ctx context.Context, to netip.Addr, announced bootstrap.Announcement) error {
	_, err := peer.Call[bootstrap.Announcement, confirmation](ctx, c.router.peers, c.router.peerOf(to), peer.KindAnnouncement, announced)
	return err
}

func (c *control) handleAnnouncement(_ context.Context, _ netip.AddrPort, announced bootstrap.Announcement) confirmation {
	c.spawn(func() { c.announcer.Receive(c.ctx, announced) })
	return confirmation{}
}

// announce tells the other daemons that this one has what is published.
func (c *control) announce(cause string) {
	c.spawn(func() {
		view := c.router.view.Load()
		if c.announcer.Announce(c.ctx, version(view), view.Revision, time.Now()) {
			c.router.log.WithFields(logrus.Fields{"cause": cause, "version": version(view), "revision": view.Revision}).Info("copy announced")
		}
	})
}

// spawn runs f on a goroutine of its own, which ends before the control does.
func (c *control) spawn(f func()) {
	c.do(func() { c.done.Go(f) })
}

// setLoaded records that this daemon has what is published, on the control goroutine. If it read the store, the others may be waiting for it.
func (c *control) setLoaded(from string) {
	if c.loader.IsLoaded() || !c.router.view.Load().Complete() {
		return
	}
	c.loader.SetLoaded()
	if from == storeName {
		go c.announce("loaded")
	}
}
