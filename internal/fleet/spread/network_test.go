package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// network carries the cores' messages in virtual time, with loss, partitions and pauses. It
// keeps its own record of versions, which the checks use.
type network struct {
	rng      *rand.Rand
	now      time.Time
	events   events
	sequence int
	hosts    []lists.Host
	nodes    map[string]*node
	byPeer   map[netip.AddrPort]*node

	// loss is the fraction of messages that are lost.
	loss        float64
	partitioned func(a, b string) bool
	// served are the values that the platform serves, older than newest while it is stale.
	served [lists.Kinds]lists.Value
	newest [lists.Kinds]lists.Value
	// reachChangedAt is when a partition last began or healed; for maxLag after it, nodes need not have the versions of those in reach.
	reachChangedAt time.Time
	// down has the availability zones that can't reach the platform.
	down  map[string]bool
	stale bool

	exchanges int
	// reads counts reads of the platform, calls reads and watches, slots the calls by time; busiest is the maximum of calls in a second.
	reads   int
	calls   int
	slots   map[int64]int
	busiest int
	// faults collects violations of what must always hold.
	faults []string
}

// node is one daemon: a core with the state that the control goroutine would keep.
type node struct {
	net         *network
	host        lists.Host
	core        *Core
	archive     *Archive
	members     *member.Table
	values      [lists.Kinds]lists.Value
	changes     [lists.Kinds][]change
	incarnation int
	alive       bool
	paused      bool
	// deferred are the calls that wait until the node's process resumes.
	deferred []func()
	pending  map[netip.AddrPort]bool
	// fetches counts fetches by list and version.
	fetches   map[string]int
	servingAt time.Time
	watched   time.Time
	seeds     []netip.AddrPort
	// lenient is a daemon of another release, which accepts what the others reject.
	lenient bool
}

const (
	tickInterval   = 100 * time.Millisecond
	messageTimeout = time.Second
	watchLength    = 5 * time.Second
	slotLength     = 50 * time.Millisecond
	// settledAfter is how long a daemon must have taken callers before others must have its versions.
	settledAfter = 4 * time.Second
	// maxLag is the time within which a change is to be in force everywhere.
	maxLag = 3 * time.Second
)

func newNetwork(rng *rand.Rand, zones, perZone int) *network {
	n := &network{
		rng: rng, now: time.Unix(1_000_000, 0), nodes: map[string]*node{}, byPeer: map[netip.AddrPort]*node{},
		partitioned: func(string, string) bool { return false }, down: map[string]bool{}, slots: map[int64]int{},
	}
	for i := range zones * perZone {
		zone := i % zones
		h := lists.Host{
			Host: fmt.Sprintf("h%d", i), Service: "s", Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone%3),
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1),
		}
		n.hosts = append(n.hosts, h)
		n.nodes[h.Host] = &node{net: n, host: h}
		n.byPeer[h.Peer] = n.nodes[h.Host]
	}
	return n
}

func (n *network) after(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.events, event{at: n.now.Add(d), sequence: n.sequence, run: run})
}

func (n *network) advance(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		next := heap.Pop(&n.events).(event)
		n.now = next.at
		next.run()
	}
	n.now = end
}

func (n *network) publish(k lists.Kind, raw string) {
	n.newest[k] = lists.Value{Kind: k, Version: n.newest[k].Version + 1, Raw: []byte(raw)}
	if !n.stale {
		n.served = n.newest
	}
}

func (n *network) publishAll() {
	for k := range lists.Kinds {
		n.publish(lists.Kind(k), fmt.Sprintf("%s of many words that stay, and number %d", lists.Kind(k), n.newest[k].Version+1))
	}
}

// newestValid returns the newest version that isn't rejected; the network publishes at most one invalid value in a row.
func (n *network) newestValid(k lists.Kind) uint64 {
	if invalid(n.newest[k]) {
		return n.newest[k].Version - 1
	}
	return n.newest[k].Version
}

func invalid(v lists.Value) bool { return strings.HasPrefix(string(v.Raw), "bad") }

// run runs f in the node's process: at once, after its pause, or never if the process has ended.
func (d *node) run(incarnation int, f func()) {
	switch {
	case d.incarnation != incarnation || !d.alive:
	case d.paused:
		d.deferred = append(d.deferred, func() { d.run(incarnation, f) })
	default:
		f()
	}
}

func (d *node) start() {
	d.incarnation++
	d.alive, d.paused, d.deferred = true, false, nil
	d.values, d.changes = [lists.Kinds]lists.Value{}, [lists.Kinds][]change{}
	d.archive, d.members = &Archive{}, member.New()
	d.pending, d.fetches = map[netip.AddrPort]bool{}, map[string]int{}
	d.servingAt, d.watched = time.Time{}, time.Time{}
	d.core = New(Config{
		Host: d.host.Host, Zone: d.host.Zone, Region: d.host.Region, Watch: watchLength, IsolationTime: time.Minute, Seeds: d.seeds,
	}, rand.New(rand.NewPCG(d.net.rng.Uint64(), 1)), d.net.now)
	d.tick(d.incarnation)
}

func (d *node) stop() { d.alive = false }

func (d *node) pause() { d.paused, d.servingAt = true, time.Time{} }

// resume ends the pause of the process: what it had in its buffers is handled before anything new.
func (d *node) resume() {
	if !d.paused {
		return
	}
	d.paused = false
	d.checkServing()
	deferred := d.deferred
	d.deferred = nil
	for _, f := range deferred {
		f()
		d.checkServing()
	}
}

// takesCallers reports whether a request goroutine would take a caller at this moment.
func (d *node) takesCallers() bool {
	s, lastTick := d.core.Standing()
	return s.Takes(lastTick, d.net.now)
}

// checkServing records a fault if the node begins to take callers with older versions than those in its reach.
func (d *node) checkServing() {
	if !d.alive || d.paused || !d.takesCallers() {
		d.servingAt = time.Time{}
		return
	}
	if !d.servingAt.IsZero() {
		return
	}
	d.servingAt = d.net.now
	for k := range lists.Kinds {
		if minVersion, ok := d.net.minVersionInReach(d, lists.Kind(k)); ok && d.values[k].Version < minVersion {
			d.net.faults = append(d.net.faults, fmt.Sprintf("%s takes callers at version %d of %s, all other nodes in reach have at least %d",
				d.host.Host, d.values[k].Version, lists.Kind(k), minVersion))
		}
	}
}

// minVersionInReach returns the minimum version that the other nodes in reach had in force maxLag ago, among those that have taken callers for settledAfter.
func (n *network) minVersionInReach(d *node, k lists.Kind) (uint64, bool) {
	minVersion, ok := uint64(0), false
	if n.now.Sub(n.reachChangedAt) < maxLag {
		return minVersion, ok
	}
	for _, other := range n.nodes {
		if other == d || !other.alive || other.paused || other.servingAt.IsZero() || n.now.Sub(other.servingAt) < settledAfter || n.partitioned(d.host.Host, other.host.Host) {
			continue
		}
		if version := other.versionAt(k, n.now.Add(-maxLag)); !ok || version < minVersion {
			minVersion, ok = version, true
		}
	}
	return minVersion, ok
}

// versionAt returns the version that was in force at the node at the given time.
func (d *node) versionAt(k lists.Kind, at time.Time) uint64 {
	version := uint64(0)
	for _, c := range d.changes[k] {
		if !c.at.After(at) {
			version = c.version
		}
	}
	return version
}

func (d *node) skip(host string) bool { return d.members.Suspect(host) }

func (d *node) tick(incarnation int) {
	d.run(incarnation, func() {
		now := d.net.now
		work := d.core.Tick(now, d.skip)
		d.carryOut(work)
		for _, h := range d.members.DueProbes(now) {
			d.exchange(h.Peer)
		}
		if d.core.Reads(d.skip) {
			d.watch()
		}
		d.checkServing()
		d.net.after(tickInterval, func() { d.tick(incarnation) })
	})
}

func (d *node) carryOut(w Work) {
	for _, to := range w.Exchange {
		d.exchange(to)
	}
	for _, from := range w.Fetch {
		d.fetch(from)
	}
	if w.Read != ReadNothing {
		d.read(w.Read)
	}
}

func (d *node) digest() Digest {
	var versions Versions
	for k := range versions {
		versions[k] = d.values[k].Version
	}
	return Digest{Host: d.host.Host, Versions: versions, Ready: d.takesCallers(), Age: d.core.Age(d.net.now)}
}

// deliver runs f, a message from one node, at another after the network delay, or loses it.
func (n *network) deliver(from, to *node, incarnation int, f func()) {
	if n.rng.Float64() < n.loss {
		return
	}
	n.after(time.Millisecond+time.Duration(n.rng.Int64N(int64(4*time.Millisecond))), func() {
		if !n.partitioned(from.host.Host, to.host.Host) {
			to.run(incarnation, f)
		}
	})
}

func (d *node) exchange(to netip.AddrPort) {
	n, peer, sent, own := d.net, d.net.byPeer[to], d.net.now, d.incarnation
	if d.pending[to] {
		return
	}
	d.pending[to] = true
	n.exchanges++
	digest := d.digest()
	done := false
	n.after(messageTimeout, func() {
		d.run(own, func() {
			if !done {
				done = true
				delete(d.pending, to)
				d.members.Failed(peer.host.Host, n.now)
			}
		})
	})
	n.deliver(d, peer, peer.incarnation, func() {
		peer.members.Reached(d.host.Host)
		peer.carryOut(peer.core.Hear(digest, n.now))
		answer := peer.digest()
		n.deliver(peer, d, own, func() {
			if done {
				return
			}
			done = true
			delete(d.pending, to)
			d.members.Reached(peer.host.Host)
			d.carryOut(d.core.Answer(to, answer, sent, n.now))
			d.checkServing()
		})
	})
}

func (d *node) fetch(s Source) {
	n, peer, own := d.net, d.net.byPeer[s.Peer], d.incarnation
	have := d.values[s.Kind]
	have.Kind = s.Kind
	if s.Version <= d.values[s.Kind].Version {
		n.faults = append(n.faults, fmt.Sprintf("%s fetches version %d of %s and has %d", d.host.Host, s.Version, s.Kind, have.Version))
	}
	key := fmt.Sprintf("%s/%d", s.Kind, s.Version)
	if d.fetches[key]++; d.fetches[key] > 40 {
		n.faults = append(n.faults, fmt.Sprintf("%s fetched %s %d times", d.host.Host, key, d.fetches[key]))
	}
	n.deliver(d, peer, peer.incarnation, func() {
		packet := peer.archive.Packet(Fetch{Kind: s.Kind, Have: have.Version})
		n.deliver(peer, d, own, func() {
			if v, err := packet.Open(have); err == nil && packet.Version > 0 {
				d.receive(v)
			}
			d.carryOut(d.core.Fetched(s.Kind, n.now))
			d.checkServing()
		})
	})
}

// startAll starts every node within a second and waits until the fleet has settled.
func (n *network) startAll() {
	n.publishAll()
	for _, h := range n.hosts {
		n.after(time.Duration(n.rng.Int64N(int64(time.Second))), n.nodes[h.Host].start)
	}
	n.advance(8 * time.Second)
}

// laggingNodes returns which running nodes don't have the newest versions or take no callers; empty means that there are none.
func (n *network) laggingNodes() []string {
	var out []string
	for _, h := range n.hosts {
		d := n.nodes[h.Host]
		if !d.alive {
			continue
		}
		standing, _ := d.core.Standing()
		for k := range lists.Kinds {
			if d.values[k].Version != n.newestValid(lists.Kind(k)) {
				out = append(out, fmt.Sprintf("%s has %s at %d of %d", h.Host, lists.Kind(k), d.values[k].Version, n.newestValid(lists.Kind(k))))
			}
		}
		if !d.takesCallers() {
			out = append(out, fmt.Sprintf("%s takes no callers, %s", h.Host, standing))
		}
	}
	return out
}
