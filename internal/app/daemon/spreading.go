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
	// exchangeTimeout bounds the wait for a peer's digest; with two failures in a row it is a suspect.
	exchangeTimeout = time.Second
	// fetchTimeout bounds the wait for a value of up to a megabyte.
	fetchTimeout = 3 * time.Second
)

// errPeerStopped means that the peer's control thread has ended, so that its answer says nothing.
var errPeerStopped = errors.New("daemon: the peer is ending")

// tick looks at the clock: what is due is begun, and the daemon's standing follows.
func (c *control) tick(now time.Time) {
	c.perform(c.core.Tick(now, c.unusable), now)
	for _, h := range c.members.Doubtful(now) {
		c.exchange(h.Peer, now)
	}
	c.updateWatches()
	c.publishState(now)
}

// unusable tells which hosts are passed over for digests and as readers.
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

// digest is what this daemon tells of itself.
func (c *control) digest(now time.Time) spread.Digest {
	var versions spread.Versions
	for k := range versions {
		versions[k] = c.set.Value(lists.Kind(k)).Version
	}
	return spread.Digest{
		Host: c.daemon.settings.Host, Incarnation: c.incarnation, Versions: versions,
		Ready: c.daemon.acceptsCallers(now), Leaving: c.leaving, Age: c.core.Age(now), News: c.members.Tell(),
	}
}

// exchange sends a digest to a peer and takes its answer when it comes.
func (c *control) exchange(to netip.AddrPort, now time.Time) {
	if c.exchanging[to] {
		return
	}
	c.exchanging[to] = true
	own := c.digest(now)
	c.done.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
		defer cancel()
		theirs, err := peer.Call[spread.Digest, spread.Digest](ctx, c.daemon.peers, to, peer.KindDigest, own)
		if err == nil && theirs.Host == "" {
			err = errPeerStopped
		}
		if err != nil {
			c.daemon.peers.Drop(to)
		}
		c.do(func() { c.handleDigestReply(to, theirs, err, now) })
	})
}

func (c *control) handleDigestReply(to netip.AddrPort, theirs spread.Digest, err error, sent time.Time) {
	delete(c.exchanging, to)
	now := time.Now()
	if err != nil {
		c.recordFailure(c.members.At(to), now)
		return
	}
	c.recordContact(theirs.Host, now)
	c.applyMembership(theirs, now)
	c.perform(c.core.Answer(to, theirs, sent, now), now)
	c.publishState(now)
}

// handleDigest answers a peer's digest with the own one.
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

// handleFetch answers a peer that asks for a list's value.
func (d *Daemon) handleFetch(ctx context.Context, _ netip.AddrPort, request spread.Fetch) spread.Packet {
	var packet spread.Packet
	var wait time.Duration
	if int(request.Kind) < lists.Kinds {
		d.control.do(func() { packet, wait = d.control.packet(request, time.Now()) })
	}
	if wait > 0 {
		sleep(ctx, wait)
	}
	return packet
}

const (
	// largeValueInterval is the time between two large values that a daemon hands out whole.
	largeValueInterval = 25 * time.Millisecond
	// maxLargeValueWait bounds the wait for one's turn; a peer asks again after 400 ms, elsewhere if it can.
	maxLargeValueWait = 300 * time.Millisecond
)

// packet returns what a peer asks for and how long to hold it back, or nothing if too many wait for a large value.
//
// When a zone starts, the first who has the lists is asked by everyone at once. A value of a megabyte is
// copied several times on its way out, so that ten at a time take what the daemon may hold altogether.
// Who gets nothing asks again a moment later, and by then others have the value too.
func (c *control) packet(request spread.Fetch, now time.Time) (spread.Packet, time.Duration) {
	packet := c.archive.Packet(request)
	if len(packet.Whole) < largeValueBytes {
		return packet, 0
	}
	next := c.lastLargeValue.Add(largeValueInterval)
	if next.Before(now) {
		next = now
	}
	wait := next.Sub(now)
	if wait > maxLargeValueWait {
		return spread.Packet{}, 0
	}
	c.lastLargeValue = next
	c.noteLargeValue(len(packet.Whole))
	return packet, wait
}

// fetch gets a newer value from a peer, as splices onto the own one where they fit.
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

// applyMembership takes a peer's word on itself and what it passes on of others.
func (c *control) applyMembership(digest spread.Digest, now time.Time) {
	changed := c.members.Hear(member.News{Host: digest.Host, Incarnation: digest.Incarnation, Leaving: digest.Leaving}, now)
	for _, n := range digest.News {
		if n.Host == c.daemon.settings.Host {
			c.refuteLeaving(n)
			continue
		}
		changed = c.members.Hear(n, now) || changed
	}
	if changed {
		c.pushMembership(now)
	}
}

// refuteLeaving answers word that this daemon is leaving while it isn't: the clock of its
// host was set back between two starts, so its new incarnation is the lower one.
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

// announceLeaving tells others that this daemon is leaving, so that none hands it new work.
func (c *control) announceLeaving() {
	c.do(func() {
		now := time.Now()
		c.leaving = true
		c.members.Hear(member.News{Host: c.daemon.settings.Host, Incarnation: c.incarnation, Leaving: true}, now)
		c.pushMembership(now)
	})
}
