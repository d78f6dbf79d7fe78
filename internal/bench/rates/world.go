package rates

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// Way is how the fleet divides a rate.
type Way uint8

// The ways that are compared.
const (
	// Lending is package rate.
	Lending Way = iota
	// Equal gives each host an equal, fixed part.
	Equal
	// Full gives each host the whole rate; it is unsafe.
	Full
)

// Network is how messages between hosts fare.
type Network struct {
	// Least and Spread are the one-way delay in the same availability zone.
	Least  time.Duration
	Spread time.Duration
	// Lost and Doubled are shares of messages, Late is the share that takes up to LateBy.
	Lost    float64
	Doubled float64
	Late    float64
	LateBy  time.Duration
}

// World is a fleet in virtual time.
type World struct {
	Now     time.Time
	Network Network
	// Overload is the share of requests with a token that are turned away before they run.
	Overload float64
	// OverloadBy is how long such a request waits at most before it is told so.
	OverloadBy time.Duration
	Checker    *Checker
	Counts     Counts

	ideal   *Checker
	tallies map[string]*Tally
	wire    bytes.Buffer
	way     Way
	limits  rate.Limits
	opts    []rate.MembershipOption
	rng     *rand.Rand
	events  events
	serial  uint64
	plans   []lists.Organisation
	// planVersion counts the changes of the plans.
	planVersion int

	hosts  []*Host
	byName map[rate.Member]*Host
	lists  [][]rate.Member
	cut    func(a, b *Host) bool
}

// Counts is what a run has seen.
type Counts struct {
	Arrivals int `json:"arrivals"`
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	// Inside is how many one global bucket would have admitted.
	Inside   int `json:"inside"`
	Asked    int `json:"asked"`
	Messages int `json:"messages"`
	// TurnedAway had a token and did not run; of these the tokens of GivenBack came back.
	TurnedAway int `json:"turnedAway"`
	GivenBack  int `json:"givenBack"`
	// Bytes are those of lease messages between hosts, frames counted.
	Bytes int `json:"bytes"`
}

// Wrongful returns how many requests were refused that one global bucket would have admitted.
func (c Counts) Wrongful() int { return max(c.Inside-c.Admitted, 0) }

// Host is one host of the world: a process at an address.
type Host struct {
	Number int
	Zone   int
	Member rate.Member

	home        *rate.Home
	borrower    *rate.Borrower
	equal       *equal
	incarnation uint64
	list        int
	staleAt     int
	stale       bool
	plans       int
	alive       bool
	paused      bool
	deferred    []func()
	seeks       map[string]*seek
}

// seek is a chain of urgent questions with the requests that wait for it.
type seek struct {
	// waiting are told whether they were admitted, first come, first served.
	waiting []func(admitted bool)
	homes   []rate.Member
	need    rate.Need
	wait    time.Duration
	ends    time.Time
	// settled is set once a home could tell when it has a token.
	settled bool
}

// next takes the first of the waiting requests out.
func (s *seek) next() func(admitted bool) {
	first := s.waiting[0]
	s.waiting = s.waiting[1:]
	return first
}

// Start is when virtual time begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewWorld returns a world without hosts.
func NewWorld(seed uint64, way Way, l rate.Limits, plans []lists.Organisation, opts ...rate.MembershipOption) *World {
	w := &World{
		tallies: map[string]*Tally{},
		Now:     Start, way: way, limits: l, opts: opts, plans: plans, byName: map[rate.Member]*Host{},
		rng: rand.New(rand.NewPCG(seed, seed)), Checker: NewChecker(plans, Start), ideal: NewChecker(plans, Start),
		cut: func(*Host, *Host) bool { return false },
	}
	w.Network = Network{Least: 200 * time.Microsecond, Spread: 300 * time.Microsecond}
	return w
}

// zones is the number of availability zones that hosts are spread over.
const zones = 3

// AddHost starts a host; it is a home only once it is listed.
func (w *World) AddHost() *Host {
	n := len(w.hosts) + 1
	address := netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)})
	h := &Host{Number: n, Zone: n % zones, Member: rate.Member{Host: fmt.Sprintf("host-%d", n), Peer: netip.AddrPortFrom(address, 7001)}}
	w.hosts = append(w.hosts, h)
	w.byName[h.Member] = h
	w.boot(h)
	return h
}

// Hosts returns all hosts ever started.
func (w *World) Hosts() []*Host { return w.hosts }

func (w *World) boot(h *Host) {
	w.serial++
	h.incarnation = w.serial
	h.alive, h.paused, h.list = true, false, 0
	h.deferred = nil
	h.seeks = map[string]*seek{}
	h.home = rate.NewHome(h.Member, h.incarnation, w.limits, w.Now, w.opts...)
	h.borrower = rate.NewBorrower(h.Member.Host+"@"+h.Member.Peer.String(), h.incarnation, w.limits)
	h.borrower.SetOwn(h.Member)
	h.equal = newEqual(map[string]lists.Organisation{})
	w.givePlans(h)
	if h.stale {
		w.giveList(h, h.staleAt)
	} else {
		w.giveList(h, len(w.lists))
	}
	w.tick(h, h.incarnation)
}

func (w *World) givePlans(h *Host) {
	h.plans = w.planVersion
	h.home.SetPlans(w.plans, w.Now)
	h.borrower.SetPlans(w.plans)
	for _, o := range w.plans {
		h.equal.plans[o.Organisation] = o
	}
}

func (w *World) giveList(h *Host, version int) {
	if version <= h.list {
		return
	}
	h.list = version
	members := w.lists[version-1]
	h.home.SetList(uint64(version), members, w.Now)
	h.borrower.SetList(uint64(version), members)
	h.equal.setHosts(len(members))
	if w.way == Full {
		h.equal.setHosts(1)
	}
}

// Publish makes the given hosts the next version of the list; each host that is not stale learns it within a second.
func (w *World) Publish(hosts []*Host) {
	members := make([]rate.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, h.Member)
	}
	w.lists = append(w.lists, members)
	for _, h := range w.hosts {
		w.tell(h)
	}
}

func (w *World) tell(h *Host) {
	version := len(w.lists)
	w.process(h, h.incarnation, w.rngTime(time.Second), func() {
		if !h.stale {
			w.giveList(h, version)
		}
	})
}

// SetStale makes a host read a replica that gives nothing new, or lets it catch up.
func (w *World) SetStale(h *Host, stale bool) {
	h.stale, h.staleAt = stale, h.list
	if !stale && len(w.lists) > 0 {
		w.tell(h)
	}
}

// SetPlans changes the plans; each live host learns it within a second.
func (w *World) SetPlans(plans []lists.Organisation) {
	w.plans = plans
	w.planVersion++
	for _, h := range w.hosts {
		w.process(h, h.incarnation, w.rngTime(time.Second), func() { w.givePlans(h) })
	}
}

// PlansKnown reports whether every process that runs acts on the newest plans.
func (w *World) PlansKnown() bool {
	for _, h := range w.hosts {
		if h.alive && h.plans != w.planVersion {
			return false
		}
	}
	return true
}

// Crash ends a host's process without a word.
func (w *World) Crash(h *Host) { h.alive = false }

// Leave ends a host's process after it gave up its shards and told others.
func (w *World) Leave(h *Host) {
	for _, m := range h.home.Cease(w.Now) {
		w.confirm(h, m)
	}
	w.After(time.Second, func() { h.alive = false })
}

// Restart starts a process on the same address, after the one before it has ended.
func (w *World) Restart(h *Host) {
	h.alive = false
	w.boot(h)
}

// Pause stops a process; Resume lets it wake up late.
func (w *World) Pause(h *Host) { h.paused = true }

// Resume lets a paused process go on with all that has come meanwhile.
func (w *World) Resume(h *Host) {
	h.paused = false
	todo := h.deferred
	h.deferred = nil
	for _, f := range todo {
		f()
	}
}

// Alive reports whether the host's process runs and is not paused.
func (h *Host) Alive() bool { return h.alive && !h.paused }

// Cut sets which pairs of hosts don't reach each other.
func (w *World) Cut(cut func(a, b *Host) bool) { w.cut = cut }

// Heal ends all cuts.
func (w *World) Heal() { w.cut = func(*Host, *Host) bool { return false } }

func (w *World) rngTime(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

// After runs f after a time.
func (w *World) After(d time.Duration, f func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.Now.Add(d), serial: w.serial, run: f})
}

// process runs f on a host's process after a time, late if it is paused, never if it has ended.
func (w *World) process(h *Host, incarnation uint64, d time.Duration, f func()) {
	var run func()
	run = func() {
		switch {
		case !h.alive || h.incarnation != incarnation:
		case h.paused:
			h.deferred = append(h.deferred, run)
		default:
			f()
		}
	}
	w.After(d, run)
}

// Run lets the time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = end
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is heap.Interface's.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is heap.Interface's.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
