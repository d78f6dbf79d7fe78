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
	// exchangeTime bounds the wait for a peer's digest; with two failures in a row it is a suspect.
	exchangeTime = time.Second
	// fetchTime bounds the wait for a value of up to a megabyte.
	fetchTime = 3 * time.Second
)

// errEnding means that the peer's control thread has ended, so that its answer says nothing.
var errEnding = errors.New("daemon: the peer is ending")

// tick looks at the clock: what is due is begun, and the daemon's standing follows.
func (c *control) tick(now time.Time) {
	c.carryOut(c.core.Tick(now, c.unusable), now)
	for _, h := range c.members.Doubtful(now) {
		c.exchange(h.Peer, now)
	}
	c.follow()
	c.show(now)
}

// unusable tells which hosts are passed over for digests and as readers.
func (c *control) unusable(host string) bool {
	view := c.daemon.members.Load()
	return c.members.Suspect(host) || view.Leaving(host)
}

func (c *control) carryOut(w spread.Work, now time.Time) {
	for _, to := range w.Exchange {
		c.exchange(to, now)
	}
	for _, from := range w.Fetch {
		c.fetch(from)
	}
	if w.Read != spread.ReadNothing {
		c.read(w.Read, now)
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
		Ready: c.daemon.takes(now), Leaving: c.leaving, Age: c.core.Age(now), News: c.members.Tell(),
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
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTime)
		defer cancel()
		theirs, err := peer.Call[spread.Digest, spread.Digest](ctx, c.daemon.peers, to, peer.KindDigest, own)
		if err == nil && theirs.Host == "" {
			err = errEnding
		}
		if err != nil {
			c.daemon.peers.DropLinks(to)
		}
		c.ask(func() { c.exchanged(to, theirs, err, now) })
	})
}

func (c *control) exchanged(to netip.AddrPort, theirs spread.Digest, err error, sent time.Time) {
	delete(c.exchanging, to)
	now := time.Now()
	if err != nil {
		c.failed(c.members.At(to), now)
		return
	}
	c.reached(theirs.Host, now)
	c.hearMembers(theirs, now)
	c.carryOut(c.core.Answer(to, theirs, sent, now), now)
	c.show(now)
}

// takeDigest answers a peer's digest with the own one.
func (d *Daemon) takeDigest(_ context.Context, _ netip.AddrPort, theirs spread.Digest) spread.Digest {
	var own spread.Digest
	d.control.ask(func() {
		now := time.Now()
		c := d.control
		c.reached(theirs.Host, now)
		c.hearMembers(theirs, now)
		c.carryOut(c.core.Hear(theirs, now), now)
		own = c.digest(now)
	})
	return own
}

// takeFetch answers a peer that asks for a list's value.
func (d *Daemon) takeFetch(ctx context.Context, _ netip.AddrPort, f spread.Fetch) spread.Packet {
	var out spread.Packet
	var wait time.Duration
	if int(f.Kind) < lists.Kinds {
		d.control.ask(func() { out, wait = d.control.hand(f, time.Now()) })
	}
	if wait > 0 {
		sleep(ctx, wait)
	}
	return out
}

const (
	// handSpacing is the time between two large values that a daemon hands out whole.
	handSpacing = 25 * time.Millisecond
	// handWait bounds the wait for one's turn; a peer asks again after 400 ms, elsewhere if it can.
	handWait = 300 * time.Millisecond
)

// hand returns what a peer asks for and how long to hold it back, or nothing if too many wait for a large value.
//
// When a zone starts, the first who has the lists is asked by everyone at once. A value of a megabyte is
// copied several times on its way out, so that ten at a time take what the daemon may hold altogether.
// Who gets nothing asks again a moment later, and by then others have the value too.
func (c *control) hand(f spread.Fetch, now time.Time) (spread.Packet, time.Duration) {
	out := c.archive.Packet(f)
	if len(out.Whole) < largeValue {
		return out, 0
	}
	next := c.handed.Add(handSpacing)
	if next.Before(now) {
		next = now
	}
	wait := next.Sub(now)
	if wait > handWait {
		return spread.Packet{}, 0
	}
	c.handed = next
	c.release(len(out.Whole))
	return out, wait
}

// fetch gets a newer value from a peer, as splices onto the own one where they fit.
func (c *control) fetch(from spread.Source) {
	have := c.set.Value(from.Kind)
	have.Kind = from.Kind
	c.done.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchTime)
		defer cancel()
		v, err := c.get(ctx, from, have)
		c.ask(func() {
			if err == nil {
				c.offer(v)
			} else {
				c.daemon.log.WithError(err).WithField("from", from.Peer.String()).Debug("fetch")
			}
			now := time.Now()
			c.carryOut(c.core.Fetched(from.Kind, now), now)
			c.show(now)
		})
	})
}

func (c *control) get(ctx context.Context, from spread.Source, have lists.Value) (lists.Value, error) {
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

// hearMembers takes a peer's word on itself and what it passes on of others.
func (c *control) hearMembers(d spread.Digest, now time.Time) {
	fresh := c.members.Hear(member.News{Host: d.Host, Incarnation: d.Incarnation, Leaving: d.Leaving}, now)
	for _, n := range d.News {
		if n.Host == c.daemon.settings.Host {
			c.deny(n)
			continue
		}
		fresh = c.members.Hear(n, now) || fresh
	}
	if fresh {
		c.spreadNews(now)
	}
}

// deny answers word that this daemon is leaving while it isn't: the clock of its
// host was set back between two starts, so its new incarnation is the lower one.
func (c *control) deny(n member.News) {
	if n.Leaving && !c.leaving && n.Incarnation >= c.incarnation {
		c.incarnation = n.Incarnation + 1
	}
}

func (c *control) spreadNews(now time.Time) {
	c.showMembers(now)
	for _, to := range c.core.Push(now, c.unusable) {
		c.exchange(to, now)
	}
}

// leave tells others that this daemon is leaving, so that none hands it new work.
func (c *control) leave() {
	c.ask(func() {
		now := time.Now()
		c.leaving = true
		c.members.Hear(member.News{Host: c.daemon.settings.Host, Incarnation: c.incarnation, Leaving: true}, now)
		c.spreadNews(now)
	})
}
