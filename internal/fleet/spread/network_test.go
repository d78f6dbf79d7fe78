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

// network carries the cores' messages in virtual time, with loss, cuts and pauses. It
// keeps its own plain account of versions, which the checks go by.
type network struct {
	rng    *rand.Rand
	now    time.Time
	events events
	serial int
	hosts  []lists.Host
	nodes  map[string]*node
	byPeer map[netip.AddrPort]*node

	loss   float64
	apart  func(a, b string) bool
	served [lists.Kinds]lists.Value
	newest [lists.Kinds]lists.Value
	// rejoined is when a cut was last made or healed; what was out of reach until then is not yet held against anyone.
	rejoined time.Time
	down     map[string]bool
	stale    bool

	exchanges int
	// reads are the reads of the platform, calls these and watches, slots the calls by time, and busiest the most in a second.
	reads   int
	calls   int
	slots   map[int64]int
	busiest int
	// faults collects what must never happen.
	faults []string
}

// node is one daemon: a core with what the control thread would keep beside it.
type node struct {
	net         *network
	host        lists.Host
	core        *Core
	archive     *Archive
	members     *member.Table
	have        [lists.Kinds]lists.Value
	changes     [lists.Kinds][]change
	incarnation int
	alive       bool
	paused      bool
	waiting     []func()
	pending     map[netip.AddrPort]bool
	tried       map[string]int
	servingAt   time.Time
	watched     time.Time
	seeds       []netip.AddrPort
	// lenient is a daemon of another release, which accepts what the others reject.
	lenient bool
}

const (
	tickEvery   = 100 * time.Millisecond
	messageTime = time.Second
	watchTime   = 5 * time.Second
	slotTime    = 50 * time.Millisecond
	// settled is how long a daemon must have taken callers before others are held to what it has.
	settled = 4 * time.Second
	// lagAllowed is the time within which a change is to be in force everywhere.
	lagAllowed = 3 * time.Second
)

func newNetwork(rng *rand.Rand, zones, perZone int) *network {
	n := &network{
		rng: rng, now: time.Unix(1_000_000, 0), nodes: map[string]*node{}, byPeer: map[netip.AddrPort]*node{},
		apart: func(string, string) bool { return false }, down: map[string]bool{}, slots: map[int64]int{},
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
	n.serial++
	heap.Push(&n.events, event{at: n.now.Add(d), serial: n.serial, run: run})
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

// sound is the newest version that isn't rejected; the network publishes at most one bad value in a row.
func (n *network) sound(k lists.Kind) uint64 {
	if bad(n.newest[k]) {
		return n.newest[k].Version - 1
	}
	return n.newest[k].Version
}

func bad(v lists.Value) bool { return strings.HasPrefix(string(v.Raw), "bad") }

// each runs f on the node's thread: at once, after its pause, or never where its process has ended.
func (d *node) each(incarnation int, f func()) {
	switch {
	case d.incarnation != incarnation || !d.alive:
	case d.paused:
		d.waiting = append(d.waiting, func() { d.each(incarnation, f) })
	default:
		f()
	}
}

func (d *node) start() {
	d.incarnation++
	d.alive, d.paused, d.waiting = true, false, nil
	d.have, d.changes = [lists.Kinds]lists.Value{}, [lists.Kinds][]change{}
	d.archive, d.members = &Archive{}, member.New()
	d.pending, d.tried = map[netip.AddrPort]bool{}, map[string]int{}
	d.servingAt, d.watched = time.Time{}, time.Time{}
	d.core = New(Config{
		Host: d.host.Host, Zone: d.host.Zone, Region: d.host.Region, Watch: watchTime, IsolationTime: time.Minute, Seeds: d.seeds,
	}, rand.New(rand.NewPCG(d.net.rng.Uint64(), 1)), d.net.now)
	d.tick(d.incarnation)
}

func (d *node) stop() { d.alive = false }

func (d *node) pause() { d.paused, d.servingAt = true, time.Time{} }

// resume lets the process go on: what it had in its buffers is handled before anything new.
func (d *node) resume() {
	if !d.paused {
		return
	}
	d.paused = false
	d.look()
	waiting := d.waiting
	d.waiting = nil
	for _, f := range waiting {
		f()
		d.look()
	}
}

// takes is what a traffic thread would find at this moment.
func (d *node) takes() bool {
	s, looked := d.core.Standing()
	return s.Takes(looked, d.net.now)
}

// look checks what must hold whenever a traffic thread may run.
func (d *node) look() {
	if !d.alive || d.paused || !d.takes() {
		d.servingAt = time.Time{}
		return
	}
	if !d.servingAt.IsZero() {
		return
	}
	d.servingAt = d.net.now
	for k := range lists.Kinds {
		if least, ok := d.net.known(d, lists.Kind(k)); ok && d.have[k].Version < least {
			d.net.faults = append(d.net.faults, fmt.Sprintf("%s takes callers at version %d of %s, all others in reach have %d or more",
				d.host.Host, d.have[k].Version, lists.Kind(k), least))
		}
	}
}

// known returns the least version in force at the other daemons in reach that have long taken callers.
func (n *network) known(d *node, k lists.Kind) (uint64, bool) {
	least, ok := uint64(0), false
	if n.now.Sub(n.rejoined) < lagAllowed {
		return least, ok
	}
	for _, o := range n.nodes {
		if o == d || !o.alive || o.paused || o.servingAt.IsZero() || n.now.Sub(o.servingAt) < settled || n.apart(d.host.Host, o.host.Host) {
			continue
		}
		if version := o.before(k, n.now.Add(-lagAllowed)); !ok || version < least {
			least, ok = version, true
		}
	}
	return least, ok
}

// before returns the version that was in force at the node at the given time.
func (d *node) before(k lists.Kind, at time.Time) uint64 {
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
	d.each(incarnation, func() {
		now := d.net.now
		work := d.core.Tick(now, d.skip)
		d.carryOut(work)
		for _, h := range d.members.DueProbes(now) {
			d.exchange(h.Peer)
		}
		if d.core.Reads(d.skip) {
			d.watch()
		}
		d.look()
		d.net.after(tickEvery, func() { d.tick(incarnation) })
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
		versions[k] = d.have[k].Version
	}
	return Digest{Host: d.host.Host, Versions: versions, Ready: d.takes(), Age: d.core.Age(d.net.now)}
}

// pass carries f from one node to another, or loses it.
func (n *network) pass(from, to *node, incarnation int, f func()) {
	if n.rng.Float64() < n.loss {
		return
	}
	n.after(time.Millisecond+time.Duration(n.rng.Int64N(int64(4*time.Millisecond))), func() {
		if !n.apart(from.host.Host, to.host.Host) {
			to.each(incarnation, f)
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
	over := false
	n.after(messageTime, func() {
		d.each(own, func() {
			if !over {
				over = true
				delete(d.pending, to)
				d.members.Failed(peer.host.Host, n.now)
			}
		})
	})
	n.pass(d, peer, peer.incarnation, func() {
		peer.members.Reached(d.host.Host)
		peer.carryOut(peer.core.Hear(digest, n.now))
		answer := peer.digest()
		n.pass(peer, d, own, func() {
			if over {
				return
			}
			over = true
			delete(d.pending, to)
			d.members.Reached(peer.host.Host)
			d.carryOut(d.core.Answer(to, answer, sent, n.now))
			d.look()
		})
	})
}

func (d *node) fetch(s Source) {
	n, peer, own := d.net, d.net.byPeer[s.Peer], d.incarnation
	have := d.have[s.Kind]
	have.Kind = s.Kind
	if s.Version <= d.have[s.Kind].Version {
		n.faults = append(n.faults, fmt.Sprintf("%s fetches version %d of %s and has %d", d.host.Host, s.Version, s.Kind, have.Version))
	}
	key := fmt.Sprintf("%s/%d", s.Kind, s.Version)
	if d.tried[key]++; d.tried[key] > 40 {
		n.faults = append(n.faults, fmt.Sprintf("%s fetched %s %d times", d.host.Host, key, d.tried[key]))
	}
	n.pass(d, peer, peer.incarnation, func() {
		packet := peer.archive.Packet(Fetch{Kind: s.Kind, Have: have.Version})
		n.pass(peer, d, own, func() {
			if v, err := packet.Open(have); err == nil && packet.Version > 0 {
				d.offer(v)
			}
			d.carryOut(d.core.Fetched(s.Kind, n.now))
			d.look()
		})
	})
}

// startAll starts every node within a second and lets the fleet settle.
func (n *network) startAll() {
	n.publishAll()
	for _, h := range n.hosts {
		n.after(time.Duration(n.rng.Int64N(int64(time.Second))), n.nodes[h.Host].start)
	}
	n.advance(8 * time.Second)
}

// behind tells which live nodes don't hold the newest versions or take no callers; empty means that all do.
func (n *network) behind() []string {
	var out []string
	for _, h := range n.hosts {
		d := n.nodes[h.Host]
		if !d.alive {
			continue
		}
		standing, _ := d.core.Standing()
		for k := range lists.Kinds {
			if d.have[k].Version != n.sound(lists.Kind(k)) {
				out = append(out, fmt.Sprintf("%s has %s at %d of %d", h.Host, lists.Kind(k), d.have[k].Version, n.sound(lists.Kind(k))))
			}
		}
		if !d.takes() {
			out = append(out, fmt.Sprintf("%s takes no callers, %s", h.Host, standing))
		}
	}
	return out
}
