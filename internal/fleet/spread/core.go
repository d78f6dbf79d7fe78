package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Config is the configuration of a core.
type Config struct {
	Host   string
	Region string
	Zone   string
	// Seeds are peers to ask while no host list is known.
	Seeds []netip.AddrPort
	// Watch is the length of one watch request to the platform, the same on every daemon.
	Watch time.Duration
	// IsolationTime is how long a daemon without any answer keeps taking callers; zero means without limit.
	IsolationTime time.Duration
}

// Work is what the control goroutine has to carry out.
type Work struct {
	// Exchange has the peers to send a digest to; each replies with its own.
	Exchange []netip.AddrPort
	// Fetch has the values to fetch.
	Fetch []Source
	// Read says what to read from the platform.
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
	// exchangeInterval is the time between two digests to a random neighbour. They reach daemons that the push
	// of a change missed; at one a second a daemon sends several hundred bytes a second for them.
	exchangeInterval = time.Second
	// secondPushDelay is the time from a change to its second push. By chance one daemon in several hundred is not a
	// neighbour of any other, and with lost messages more are missed; without a second push they would learn of
	// a change only from their own next digest.
	secondPushDelay = 300 * time.Millisecond
	// confirmInterval is the time between two rounds of digests of a daemon that takes no callers yet.
	confirmInterval = 200 * time.Millisecond
	// confirmFanout is the number of random peers in each of these rounds.
	confirmFanout = 3
	// fetchTimeout is the time until an unanswered fetch is retried. With a longer one, a peer that crashes
	// before it answers would use up the time within which a change has to be in force.
	// After fetchesBeforeBackoff timed-out fetches it doubles with each further one, at most maxFetchDoublings times.
	// A change is a few hundred bytes, so its packet arrives at once or is lost. A daemon without the list waits for
	// a megabyte, and each retry over a slow link would slow down the transfer, so its timeout doubles after
	// firstFetchesBeforeBackoff.
	fetchTimeout              = 300 * time.Millisecond
	fetchesBeforeBackoff      = 6
	firstFetchesBeforeBackoff = 1
	maxFetchDoublings         = 3
	// reportedVersionTTL is how long a starting daemon waits for a version that was reported and that it can't
	// fetch: the only peer that had it may have crashed for good.
	reportedVersionTTL = 10 * time.Second
)

// Core makes the decisions of one daemon. It belongs to the control goroutine.
type Core struct {
	config Config
	rng    *rand.Rand
	// versions are those in force, 0 for a list without a value.
	versions Versions
	// reported are the newest versions that peers have reported, and reportedAt is when they last did.
	reported   Versions
	reportedAt [lists.Kinds]time.Time
	rejected   [lists.Kinds]rejectedVersions
	fetching   [lists.Kinds]fetching
	// fetchTimeouts counts the timed-out fetches of each list's newest reported version.
	fetchTimeouts [lists.Kinds]int

	// hosts is the host list in force, which is never modified.
	hosts []lists.Host
	// activePeers has the indices in hosts of the other hosts that aren't leaving.
	activePeers []int32
	// byName has the indices in hosts of all other hosts, sorted by host name.
	byName     []int32
	ranked     []lists.Host
	neighbours neighbours

	standing Standing
	replies  replies
	// lastContact is when a peer or the platform last answered.
	lastContact  time.Time
	lastTick     time.Time
	nextExchange time.Time
	// secondPushAt is when the second push of a change is due; zero means that none is.
	secondPushAt time.Time
	reading      readSchedule
}

// fetching is the fetch of a list that is in progress; the zero value means none.
type fetching struct {
	source   Source
	deadline time.Time
	// alternative is another peer that reported a newer version meanwhile.
	alternative netip.AddrPort
}

// New returns a core without data that starts at the given time.
func New(c Config, rng *rand.Rand, now time.Time) *Core {
	core := &Core{config: c, rng: rng, lastTick: now, lastContact: now}
	core.reading = newReadSchedule(rng, len(c.Seeds) > 0, now)
	core.startConfirming(Starting, now)
	return core
}

// Standing returns the standing and the time of the last Tick, which checked it.
func (c *Core) Standing() (Standing, time.Time) { return c.standing, c.lastTick }

// Age returns the time since the platform last answered any daemon, as far as this one knows, or a negative time if unknown.
func (c *Core) Age(now time.Time) time.Duration { return c.reading.age(now) }

// SetHosts sets the host list in force; the slice must not be changed afterwards.
func (c *Core) SetHosts(hosts []lists.Host) {
	c.hosts = hosts
	c.activePeers, c.byName = make([]int32, 0, len(hosts)), make([]int32, 0, len(hosts))
	for i, h := range hosts {
		if h.Host == c.config.Host {
			continue
		}
		c.byName = append(c.byName, int32(i))
		if !h.Leaving {
			c.activePeers = append(c.activePeers, int32(i))
		}
	}
	slices.SortFunc(c.byName, func(a, b int32) int { return strings.Compare(hosts[a].Host, hosts[b].Host) })
	c.ranked = Ranked(hosts, c.config.Zone)
	if c.standing != Serving {
		c.nextExchange = time.Time{}
	}
	c.neighbours.reset()
}

// peerAddress returns the listed address of another host, or the zero value if it isn't listed.
func (c *Core) peerAddress(host string) netip.AddrPort {
	index, ok := slices.BinarySearchFunc(c.byName, host, func(i int32, host string) int {
		return strings.Compare(c.hosts[i].Host, host)
	})
	if !ok {
		return netip.AddrPort{}
	}
	return c.hosts[c.byName[index]].Peer
}

// randomPeer returns a random active peer; there must be one.
func (c *Core) randomPeer() lists.Host {
	return c.hosts[c.activePeers[c.rng.IntN(len(c.activePeers))]]
}

// Reads reports whether this daemon is one of its availability zone's readers of the platform.
func (c *Core) Reads(skip func(host string) bool) bool {
	return isReader(c.ranked, c.config.Host, skip)
}

// Tick returns the work that is due at the given time; it is called several times a second.
//
// A process that was stopped, or a host that got no CPU time, continues with
// its old lists as if no time had passed: a key withdrawn meanwhile would still
// work. The time between two ticks reveals the pause, and all lists have to be
// confirmed anew before the next caller is taken. Replies from before the pause don't
// count either, also while the daemon is still starting.
func (c *Core) Tick(now time.Time, skip func(host string) bool) Work {
	if now.Sub(c.lastTick) >= pauseThreshold {
		c.startConfirming(standingAfterPause(c.standing), now)
	}
	c.lastTick = now
	c.updateStanding(now)
	work := c.expireFetches(now)
	if !now.Before(c.nextExchange) {
		work.Exchange = c.exchangePeers(now, skip)
	}
	work.Exchange = append(work.Exchange, c.secondPush(now, skip)...)
	work.Read = c.reading.due(c, now, skip)
	return work
}

// exchangePeers returns the peers of a due exchange: one neighbour while the daemon is serving, else random peers and seeds.
func (c *Core) exchangePeers(now time.Time, skip func(host string) bool) []netip.AddrPort {
	if c.standing == Serving {
		c.nextExchange = now.Add(c.jitter(exchangeInterval))
		c.neighbours.refresh(c, now, skip)
		return c.neighbours.pick(c.rng, 1)
	}
	c.nextExchange = now.Add(c.jitter(confirmInterval))
	peers := c.randomPeers(confirmFanout)
	if c.holdsNewest() {
		return peers
	}
	return append(peers, c.config.Seeds...)
}

// jitter returns a random time within a fifth of d, so that daemons that started together spread out.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*4/5 + c.randomDuration(2*d/5)
}

// Hear applies a digest that a peer sent and returns what to fetch.
//
// It uses the host's listed address rather than the digest's source address,
// which belongs to a short-lived connection.
func (c *Core) Hear(d Digest, now time.Time) Work {
	return c.applyDigest(d, c.peerAddress(d.Host), now, now)
}

// applyDigest applies a digest that can't have been written before the given time.
func (c *Core) applyDigest(d Digest, peer netip.AddrPort, written, now time.Time) Work {
	if d.Age >= 0 {
		c.reading.recordAnswer(written.Add(-d.Age))
	}
	var work Work
	for k := range lists.Kinds {
		if c.needs(lists.Kind(k), d.Versions[k]) {
			c.recordReported(lists.Kind(k), d.Versions[k], now)
			work.add(c.startFetch(Source{Kind: lists.Kind(k), Peer: peer, Version: d.Versions[k]}, now))
		}
	}
	return work
}

// needs reports whether a version is above the one in force and was not rejected.
func (c *Core) needs(k lists.Kind, version uint64) bool {
	return version > c.versions[k] && !c.rejected[k].has(version)
}

// recordReported records a version that a peer has. Only a digest renews the time of the report: a
// retried fetch is no sign that any peer still has the value.
func (c *Core) recordReported(k lists.Kind, version uint64, now time.Time) {
	if version > c.reported[k] {
		c.fetchTimeouts[k] = 0
	}
	if version >= c.reported[k] {
		c.reported[k], c.reportedAt[k] = version, now
	}
}

// Answer applies a peer's reply to a digest that was sent at the given time.
//
// The reply to a digest from before a pause may have waited in a buffer
// during the pause, so it confirms nothing.
func (c *Core) Answer(peer netip.AddrPort, d Digest, sent, now time.Time) Work {
	work := c.applyDigest(d, peer, sent, now)
	if sent.Before(c.replies.since) {
		return work
	}
	c.lastContact = now
	if c.standing != Serving && d.Host != c.config.Host {
		c.replies.peers[d.Host] = reply{sent: sent, ready: d.Ready}
		c.updateStanding(now)
	}
	return work
}

// startFetch returns the fetch of a version, or no work if it isn't needed or another fetch of the list is in progress.
func (c *Core) startFetch(s Source, now time.Time) Work {
	if !c.needs(s.Kind, s.Version) || !s.Peer.IsValid() {
		return Work{}
	}
	f := &c.fetching[s.Kind]
	if now.Before(f.deadline) {
		// One transfer at a time: a value of a megabyte must not arrive from several peers at once.
		f.alternative = s.Peer
		return Work{}
	}
	*f = fetching{source: s, deadline: now.Add(c.nextFetchTimeout(s.Kind))}
	return Work{Fetch: []Source{s}}
}

// nextFetchTimeout returns how long the next fetch of the list may take.
func (c *Core) nextFetchTimeout(k lists.Kind) time.Duration {
	triesBeforeBackoff := fetchesBeforeBackoff
	if c.versions[k] == 0 {
		triesBeforeBackoff = firstFetchesBeforeBackoff
	}
	return fetchTimeout << min(max(c.fetchTimeouts[k]-triesBeforeBackoff+1, 0), maxFetchDoublings)
}

// Fetched records that a fetch has ended, with or without a value, and returns the next one from another peer if it is needed.
func (c *Core) Fetched(k lists.Kind, now time.Time) Work {
	alternative := c.fetching[k].alternative
	c.fetching[k] = fetching{}
	if c.reported[k] <= c.versions[k] || !alternative.IsValid() {
		return Work{}
	}
	return c.startFetch(Source{Kind: k, Peer: alternative, Version: c.reported[k]}, now)
}

// expireFetches retries fetches that timed out, and gives up versions that no peer has reported for reportedVersionTTL.
func (c *Core) expireFetches(now time.Time) Work {
	var work Work
	for k := range c.fetching {
		if now.Sub(c.reportedAt[k]) > reportedVersionTTL {
			c.reported[k] = c.versions[k]
		}
		if f := &c.fetching[k]; !f.deadline.IsZero() && !now.Before(f.deadline) {
			if !f.alternative.IsValid() {
				f.alternative = f.source.Peer
			}
			c.fetchTimeouts[k]++
			work.add(c.Fetched(lists.Kind(k), now))
		}
	}
	return work
}

// Accepted records a version that came into force and returns the peers to push it to.
func (c *Core) Accepted(k lists.Kind, version uint64, now time.Time, skip func(host string) bool) Work {
	c.versions[k] = version
	c.fetchTimeouts[k] = 0
	c.rejected[k].dropUpTo(version)
	c.updateStanding(now)
	if c.secondPushAt.IsZero() {
		c.secondPushAt = now.Add(c.jitter(secondPushDelay))
	}
	return Work{Exchange: c.Push(now, skip)}
}

// Rejected records a version that was rejected, so that it is neither waited for nor fetched again.
func (c *Core) Rejected(k lists.Kind, version uint64, now time.Time) {
	c.rejected[k].add(version)
	if c.reported[k] == version {
		c.reported[k] = c.versions[k]
	}
	c.updateStanding(now)
}

// secondPush returns the peers of the second push of a change if it is due.
func (c *Core) secondPush(now time.Time, skip func(host string) bool) []netip.AddrPort {
	if c.secondPushAt.IsZero() || now.Before(c.secondPushAt) {
		return nil
	}
	c.secondPushAt = time.Time{}
	return c.Push(now, skip)
}

// Push returns the peers to send a digest at once after a change.
func (c *Core) Push(now time.Time, skip func(host string) bool) []netip.AddrPort {
	c.neighbours.refresh(c, now, skip)
	return c.neighbours.pick(c.rng, pushFanout)
}

// PlatformAnswered records that the platform answered a call started at the given time.
//
// Only a response with all lists confirms a daemon's versions; the response to a
// single watch only shows that the platform is reachable.
func (c *Core) PlatformAnswered(started, now time.Time, all bool) {
	c.reading.recordAnswer(now)
	if started.Before(c.replies.since) {
		return
	}
	c.lastContact = now
	c.replies.platform = c.replies.platform || all
	c.updateStanding(now)
}
