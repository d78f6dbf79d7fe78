package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Config is what a core is told at its start.
type Config struct {
	Host   string
	Region string
	Zone   string
	// Seeds are peers that are asked before any host list is known.
	Seeds []netip.AddrPort
	// Watch is the length of one watch at the platform, the same on every daemon.
	Watch time.Duration
	// IsolationTime is how long a daemon that nobody answers goes on taking callers; zero means without end.
	IsolationTime time.Duration
}

// Work is what the control thread is to carry out.
type Work struct {
	// Exchange names the peers to send a digest to; each answers with its own.
	Exchange []netip.AddrPort
	// Fetch names the values to fetch.
	Fetch []Source
	// Read asks for one read at the platform.
	Read Read
}

// Source is a peer that has a newer version of a list.
type Source struct {
	Kind    lists.Kind
	Peer    netip.AddrPort
	Version uint64
}

func (w *Work) add(other Work) {
	w.Exchange = append(w.Exchange, other.Exchange...)
	w.Fetch = append(w.Fetch, other.Fetch...)
	w.Read = max(w.Read, other.Read)
}

const (
	// exchangeEvery is the time between two digests to a random neighbour. They reach whom the push
	// of a change missed; at one a second a daemon spends some hundreds of bytes a second on them.
	exchangeEvery = time.Second
	// pushAgainAfter is the time from a change to its second push. By chance one daemon in some hundreds is nobody's
	// neighbour, and with lost messages more are missed; they would else learn of a change only when they next ask.
	pushAgainAfter = 300 * time.Millisecond
	// askEvery is the same for a daemon that takes no callers yet.
	askEvery = 200 * time.Millisecond
	// askWidth is the number of peers that it asks at once.
	askWidth = 3
	// fetchTime is the wait for a value before it is asked for once more. A peer that dies
	// while it answers would else use up the time in which a change is to be in force.
	// From the fetch after fetchTries on it doubles, fetchDoublings times at most. A change is some hundred bytes, so its
	// answer is there at once or lost; a daemon without the list waits for a megabyte, which asked for again
	// and again over a slow link would take longer each time, so there firstTries counts.
	fetchTime      = 300 * time.Millisecond
	fetchTries     = 6
	firstTries     = 1
	fetchDoublings = 3
	// hearsayTime is how long a starting daemon holds out for a version that it heard of and can't
	// get: the only peer that had it may be gone for good.
	hearsayTime = 10 * time.Second
)

// Core decides for one daemon. It belongs to the control thread.
type Core struct {
	config   Config
	rng      *rand.Rand
	versions Versions
	heard    Versions
	heardAt  [lists.Kinds]time.Time
	rejected [lists.Kinds]rejects
	fetching [lists.Kinds]fetching
	// slow counts the fetches of the list's newest version that took too long.
	slow [lists.Kinds]int

	// hosts is the list in force, which nobody changes; others has the places in it of those to
	// speak with, named the places of all in the order of their names.
	hosts      []lists.Host
	others     []int32
	named      []int32
	ranked     []lists.Host
	neighbours neighbours

	standing Standing
	answers  answers
	contact  time.Time
	looked   time.Time
	next     time.Time
	again    time.Time
	reading  readPlan
}

type fetching struct {
	source Source
	until  time.Time
	spare  netip.AddrPort
}

// New returns a core that starts at the given time and knows nothing.
func New(c Config, rng *rand.Rand, now time.Time) *Core {
	core := &Core{config: c, rng: rng, looked: now, contact: now}
	core.reading = newReadPlan(rng, len(c.Seeds) > 0, now)
	core.ask(Starting, now)
	return core
}

// Standing returns the standing, and the time at which it was last looked at.
func (c *Core) Standing() (Standing, time.Time) { return c.standing, c.looked }

// Age returns the time since the platform last answered anyone that this daemon heard of, or a negative time.
func (c *Core) Age(now time.Time) time.Duration { return c.reading.age(now) }

// SetHosts takes over the host list in force; the slice must not be changed afterwards.
func (c *Core) SetHosts(hosts []lists.Host) {
	c.hosts = hosts
	c.others, c.named = make([]int32, 0, len(hosts)), make([]int32, 0, len(hosts))
	for i, h := range hosts {
		if h.Host == c.config.Host {
			continue
		}
		c.named = append(c.named, int32(i))
		if !h.Leaving {
			c.others = append(c.others, int32(i))
		}
	}
	slices.SortFunc(c.named, func(a, b int32) int { return strings.Compare(hosts[a].Host, hosts[b].Host) })
	c.ranked = Ranked(hosts, c.config.Zone)
	if c.standing != Serving {
		c.next = time.Time{}
	}
	c.neighbours.reset()
}

// peer returns the listed address of a host, or the zero one.
func (c *Core) peer(host string) netip.AddrPort {
	at, ok := slices.BinarySearchFunc(c.named, host, func(i int32, host string) int {
		return strings.Compare(c.hosts[i].Host, host)
	})
	if !ok {
		return netip.AddrPort{}
	}
	return c.hosts[c.named[at]].Peer
}

// randomOther returns one of the hosts to speak with; there must be one.
func (c *Core) randomOther() lists.Host {
	return c.hosts[c.others[c.rng.IntN(len(c.others))]]
}

// Reads reports whether this daemon is one of its availability zone's readers of the platform.
func (c *Core) Reads(skip func(host string) bool) bool {
	return reads(c.ranked, c.config.Host, skip)
}

// Tick looks at the clock and returns what is due; it is called several times a second.
//
// A process that was stopped, or a host whose CPU was taken away, goes on with
// what it last knew as if no time had passed: a key withdrawn meanwhile would
// work. The gap between two ticks tells, and everything is asked again before
// the next caller is taken.
func (c *Core) Tick(now time.Time, skip func(host string) bool) Work {
	if now.Sub(c.looked) >= wakeGap && c.standing != Starting {
		c.ask(Waking, now)
	}
	c.looked = now
	c.settle(now)
	work := c.retry(now)
	if !now.Before(c.next) {
		work.Exchange = c.exchange(now, skip)
	}
	work.Exchange = append(work.Exchange, c.pushAgain(now, skip)...)
	work.Read = c.reading.due(c, now, skip)
	return work
}

func (c *Core) exchange(now time.Time, skip func(host string) bool) []netip.AddrPort {
	if c.standing == Serving {
		c.next = now.Add(c.jitter(exchangeEvery))
		c.neighbours.renew(c, now, skip)
		return c.neighbours.pick(c.rng, 1)
	}
	c.next = now.Add(c.jitter(askEvery))
	asked := c.sample(askWidth)
	if c.holdsAll() {
		return asked
	}
	return append(asked, c.config.Seeds...)
}

// jitter returns a time around d, so that daemons that started together spread out.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*4/5 + c.rand(2*d/5)
}

// Hear takes what a peer's digest says of versions and returns what to fetch.
//
// The host's listed address is used rather than the one that the digest came
// from, which is that of a short-lived connection.
func (c *Core) Hear(d Digest, now time.Time) Work {
	return c.hear(d, c.peer(d.Host), now, now)
}

// hear takes a digest that can't have been written before the given time.
func (c *Core) hear(d Digest, peer netip.AddrPort, written, now time.Time) Work {
	if d.Age >= 0 {
		c.reading.hear(written.Add(-d.Age))
	}
	var work Work
	for k := range lists.Kinds {
		if c.wants(lists.Kind(k), d.Versions[k]) {
			c.note(lists.Kind(k), d.Versions[k], now)
			work.add(c.want(Source{Kind: lists.Kind(k), Peer: peer, Version: d.Versions[k]}, now))
		}
	}
	return work
}

func (c *Core) wants(k lists.Kind, version uint64) bool {
	return version > c.versions[k] && !c.rejected[k].has(version)
}

// note remembers a version that a peer has. Only a digest renews it: a fetch
// that is tried again is no sign that anyone still has the value.
func (c *Core) note(k lists.Kind, version uint64, now time.Time) {
	if version > c.heard[k] {
		c.slow[k] = 0
	}
	if version >= c.heard[k] {
		c.heard[k], c.heardAt[k] = version, now
	}
}

// Answer takes a peer's answer to a digest that was sent at the given time.
//
// An answer to a question from before a pause may have waited in a buffer all
// along, so it confirms nothing.
func (c *Core) Answer(peer netip.AddrPort, d Digest, sent, now time.Time) Work {
	work := c.hear(d, peer, sent, now)
	if sent.Before(c.answers.since) {
		return work
	}
	c.contact = now
	if c.standing != Serving && d.Host != c.config.Host {
		c.answers.peers[d.Host] = d.Ready
		c.settle(now)
	}
	return work
}

func (c *Core) want(s Source, now time.Time) Work {
	if !c.wants(s.Kind, s.Version) || !s.Peer.IsValid() {
		return Work{}
	}
	f := &c.fetching[s.Kind]
	if now.Before(f.until) {
		// One transfer at a time: a value of a megabyte must not come over every link at once.
		f.spare = s.Peer
		return Work{}
	}
	*f = fetching{source: s, until: now.Add(c.patience(s.Kind))}
	return Work{Fetch: []Source{s}}
}

// patience returns how long the next fetch of the list may take.
func (c *Core) patience(k lists.Kind) time.Duration {
	tries := fetchTries
	if c.versions[k] == 0 {
		tries = firstTries
	}
	return fetchTime << min(max(c.slow[k]-tries+1, 0), fetchDoublings)
}

// Fetched notes that a fetch has ended, with or without a value.
func (c *Core) Fetched(k lists.Kind, now time.Time) Work {
	spare := c.fetching[k].spare
	c.fetching[k] = fetching{}
	if c.heard[k] <= c.versions[k] || !spare.IsValid() {
		return Work{}
	}
	return c.want(Source{Kind: k, Peer: spare, Version: c.heard[k]}, now)
}

// retry clears fetches that took too long, which the next digest starts again, and versions that nobody speaks of any more.
func (c *Core) retry(now time.Time) Work {
	var work Work
	for k := range c.fetching {
		if now.Sub(c.heardAt[k]) > hearsayTime {
			c.heard[k] = c.versions[k]
		}
		if f := &c.fetching[k]; !f.until.IsZero() && !now.Before(f.until) {
			if !f.spare.IsValid() {
				f.spare = f.source.Peer
			}
			c.slow[k]++
			work.add(c.Fetched(lists.Kind(k), now))
		}
	}
	return work
}

// Accepted notes a version that came in force and returns the peers to tell at once.
func (c *Core) Accepted(k lists.Kind, version uint64, now time.Time, skip func(host string) bool) Work {
	c.versions[k] = version
	c.slow[k] = 0
	c.rejected[k].passed(version)
	c.settle(now)
	if c.again.IsZero() {
		c.again = now.Add(c.jitter(pushAgainAfter))
	}
	return Work{Exchange: c.Push(now, skip)}
}

// Rejected notes a version that was rejected, so that it is neither waited for nor fetched again.
func (c *Core) Rejected(k lists.Kind, version uint64, now time.Time) {
	c.rejected[k].add(version)
	if c.heard[k] == version {
		c.heard[k] = c.versions[k]
	}
	c.settle(now)
}

// pushAgain returns the peers to tell once more of a change, soon after it.
func (c *Core) pushAgain(now time.Time, skip func(host string) bool) []netip.AddrPort {
	if c.again.IsZero() || now.Before(c.again) {
		return nil
	}
	c.again = time.Time{}
	return c.Push(now, skip)
}

// Push returns the peers to tell of a change at once.
func (c *Core) Push(now time.Time, skip func(host string) bool) []netip.AddrPort {
	c.neighbours.renew(c, now, skip)
	return c.neighbours.pick(c.rng, pushWidth)
}

// PlatformAnswered notes that the platform answered a call begun at the given time.
//
// Only all lists together make a daemon's first read; a single watch that
// answers tells that the platform is within reach.
func (c *Core) PlatformAnswered(begun, now time.Time, all bool) {
	c.reading.hear(now)
	if begun.Before(c.answers.since) {
		return
	}
	c.contact = now
	c.answers.platform = c.answers.platform || all
	c.settle(now)
}
