package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

const (
	// exchangeTimeout bounds the wait for a peer's digest; after two failures in a row the peer is a suspect.
	exchangeTimeout = time.Second
	// fetchTimeout bounds the wait for a list of up to a megabyte.
	fetchTimeout = 3 * time.Second
)

// errPeerStopped means that the peer's control goroutine has ended, so that its reply carries no state.
var errPeerStopped = errors.New("daemon: the control goroutine of the peer has ended")

// tick does the timed work that is due and updates the serving state.
func (c *control) tick(now time.Time) {
	c.perform(c.core.Tick(now, c.unusable), now)
	for _, h := range c.members.DueProbes(now) {
		c.exchange(h.Peer, now)
	}
	c.updateWatches()
	c.publishState(now)
}

// unusable reports whether a host is skipped for digests and as a reader.
func (c *control) unusable(host string) bool {
	view := c.daemon.members.Load()
	return c.members.Suspect(host) || view.Leaving(host)
}

func (c *control) perform(work spread.Work, now time.Time) {
	for _, to := range work.Exchange {
		c.exchange(to, now)
	}
	for _, from := range work.Fetch {
		c.fetch(from)
	}
	if work.Read != spread.ReadNothing {
		c.readLists(work.Read, now)
	}
}

// digest returns the state that this daemon sends to its peers.
func (c *control) digest(now time.Time) spread.Digest {
	var versions spread.Versions
	for k := range versions {
		versions[k] = c.set.Value(lists.Kind(k)).Version
	}
	return spread.Digest{
		Host: c.daemon.settings.Host, Incarnation: c.incarnation, Versions: versions,
		Ready: c.daemon.acceptsCallers(now), Leaving: c.leaving, Age: c.core.Age(now), News: c.members.NextNews(),
	}
}

// exchange sends a digest to a peer and handles the reply when it comes.
func (c *control) exchange(to netip.AddrPort, now time.Time) {
	if c.exchanging[to] {
		return
	}
	c.exchanging[to] = true
	digest := c.digest(now)
	c.done.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
		defer cancel()
		theirs, err := peer.Call[spread.Digest, spread.Digest](ctx, c.daemon.peers, to, peer.KindDigest, digest)
		if err == nil && theirs.Host == "" {
			err = errPeerStopped
		}
		if err != nil {
			c.daemon.peers.DropLinks(to)
		}
		c.do(func() { c.handleDigestReply(to, theirs, err, now) })
	})
}

func (c *control) handleDigestReply(to netip.AddrPort, theirs spread.Digest, err error, sent time.Time) {
	delete(c.exchanging, to)
	now := time.Now()
	if err != nil {
		c.recordFailure(c.members.HostAt(to), now)
		return
	}
	c.recordContact(theirs.Host, now)
	c.applyMembership(theirs, now)
	c.perform(c.core.Answer(to, theirs, sent, now), now)
	c.publishState(now)
}

// handleDigest handles a peer's digest and replies with this daemon's own.
func (d *Daemon) handleDigest(_ context.Context, _ netip.AddrPort, theirs spread.Digest) spread.Digest {
	var own spread.Digest
	d.control.do(func() {
		now := time.Now()
		c := d.control
		c.recordContact(theirs.Host, now)
		c.applyMembership(theirs, now)
		c.perform(c.core.Hear(theirs, now), now)
		own = c.digest(now)
	})
	return own
}

// handleFetch replies to a peer that fetches a list.
func (d *Daemon) handleFetch(ctx context.Context, _ netip.AddrPort, request spread.Fetch) spread.Packet {
	var packet spread.Packet
	var wait time.Duration
	if int(request.Kind) < lists.Kinds {
		d.control.do(func() { packet, wait = d.control.packetFor(request, time.Now()) })
	}
	if wait > 0 {
		sleep(ctx, wait)
	}
	return packet
}

const (
	// largeValueInterval is the time between two large lists that a daemon sends in full.
	largeValueInterval = 25 * time.Millisecond
	// maxLargeValueWait bounds how long a reply is delayed; a peer retries after 400 ms, at another daemon if it can.
	maxLargeValueWait = 300 * time.Millisecond
)

// packetFor returns the list that a peer fetches and how long to delay the reply, or nothing if too many peers wait for a
// large list.
//
// When an availability zone starts, all its daemons fetch from the first one that has the lists. A list of a megabyte is
// copied several times while it is sent, so that ten at a time would use all the memory that the daemon may hold. A peer
// that gets nothing retries shortly after, and by then other daemons have the list too.
func (c *control) packetFor(request spread.Fetch, now time.Time) (spread.Packet, time.Duration) {
	packet := c.archive.Packet(request)
	if len(packet.Whole) < largeValueBytes {
		return packet, 0
	}
	next := c.lastLargeValueAt.Add(largeValueInterval)
	if next.Before(now) {
		next = now
	}
	wait := next.Sub(now)
	if wait > maxLargeValueWait {
		return spread.Packet{}, 0
	}
	c.lastLargeValueAt = next
	c.noteLargeValue(len(packet.Whole))
	return packet, wait
}

// fetch gets a newer list from a peer, as splices onto this daemon's version where they fit.
func (c *control) fetch(from spread.Source) {
	have := c.set.Value(from.Kind)
	have.Kind = from.Kind
	c.done.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
		defer cancel()
		v, err := c.fetchValue(ctx, from, have)
		c.do(func() {
			if err == nil {
				c.apply(v)
			} else {
				c.daemon.log.WithError(err).WithField("from", from.Peer.String()).Debug("fetch")
			}
			now := time.Now()
			c.perform(c.core.Fetched(from.Kind, now), now)
			c.publishState(now)
		})
	})
}

func (c *control) fetchValue(ctx context.Context, from spread.Source, have lists.Value) (lists.Value, error) {
	packet, err := peer.Call[spread.Fetch, spread.Packet](ctx, c.daemon.peers, from.Peer, peer.KindFetch,
		spread.Fetch{Kind: from.Kind, Have: have.Version})
	if err != nil {
		return lists.Value{}, err
	}
	v, err := packet.Open(have)
	if !errors.Is(err, spread.ErrSplice) {
		return v, err
	}
	packet, err = peer.Call[spread.Fetch, spread.Packet](ctx, c.daemon.peers, from.Peer, peer.KindFetch,
		spread.Fetch{Kind: from.Kind})
	if err != nil {
		return lists.Value{}, err
	}
	return packet.Open(have)
}

// applyMembership records the state that a peer reports of itself and the news that it forwards of others.
func (c *control) applyMembership(digest spread.Digest, now time.Time) {
	changed := c.members.Apply(member.News{Host: digest.Host, Incarnation: digest.Incarnation, Leaving: digest.Leaving}, now)
	for _, news := range digest.News {
		if news.Host == c.daemon.settings.Host {
			c.refuteLeaving(news)
			continue
		}
		changed = c.members.Apply(news, now) || changed
	}
	if changed {
		c.pushMembership(now)
	}
}

// refuteLeaving refutes news that this daemon is leaving while it isn't. Such news comes from before a restart between which
// the host's clock was set back, so that the new incarnation is lower than the old one.
func (c *control) refuteLeaving(news member.News) {
	if news.Leaving && !c.leaving && news.Incarnation >= c.incarnation {
		c.incarnation = news.Incarnation + 1
	}
}

func (c *control) pushMembership(now time.Time) {
	c.publishMembers(now)
	for _, to := range c.core.Push(now, c.unusable) {
		c.exchange(to, now)
	}
}

// announceLeaving tells the other daemons that this one is leaving, so that none sends it new work.
func (c *control) announceLeaving() {
	c.do(func() {
		now := time.Now()
		c.leaving = true
		c.members.Apply(member.News{Host: c.daemon.settings.Host, Incarnation: c.incarnation, Leaving: true}, now)
		c.pushMembership(now)
	})
}
