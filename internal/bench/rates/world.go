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

// Division is a way in which the fleet divides a rate.
type Division uint8

// The divisions that are compared.
const (
	// Lending lends tokens, as package rate does.
	Lending Division = iota
	// EqualSplit gives each host an equal, fixed share.
	EqualSplit
	// FullRate gives each host the whole rate, which is unsafe.
	FullRate
)

// Network describes delays and faults of messages between hosts.
type Network struct {
	// The one-way delay in one availability zone is uniformly distributed from MinDelay to MinDelay + DelaySpread.
	MinDelay    time.Duration
	DelaySpread time.Duration
	// LossFraction, DuplicateFraction and LateFraction are fractions of all messages; a late message takes up to MaxLateness
	// longer.
	LossFraction      float64
	DuplicateFraction float64
	LateFraction      float64
	MaxLateness       time.Duration
}

// Simulation is a fleet in virtual time.
type Simulation struct {
	Now     time.Time
	Network Network
	// DeclineFraction is the fraction of requests that are declined although they had a token.
	DeclineFraction float64
	// MaxDeclineDelay is the longest time until such a request returns its token.
	MaxDeclineDelay time.Duration
	Checker         *Checker
	Counts          Counts

	globalBuckets      *Checker
	organisationCounts map[string]*OrganisationCount
	encodeBuffer       bytes.Buffer
	division           Division
	limits             rate.Limits
	opts               []rate.MembershipOption
	rng                *rand.Rand
	events             events
	serial             uint64
	plans              []lists.Organisation
	// planVersion counts the changes of the plans.
	planVersion int

	hosts       []*Host
	byName      map[rate.Member]*Host
	hostLists   [][]rate.Member
	partitioned func(a, b *Host) bool
}

// Counts holds the counts of a run.
type Counts struct {
	Arrivals int `json:"arrivals"`
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	// Inside is the number of requests that one global bucket would have admitted.
	Inside int `json:"inside"`
	// LeaseNeeded is the number of requests that found no token in stock.
	LeaseNeeded int `json:"asked"`
	Messages    int `json:"messages"`
	// Declined counts requests that had a token and did not run, and TokensReturned those of them whose tokens were returned.
	Declined       int `json:"turnedAway"`
	TokensReturned int `json:"givenBack"`
	// Bytes is the size of lease messages between hosts, with their frames.
	Bytes int `json:"bytes"`
}

// Wrongful returns how many requests fewer were admitted than one global bucket would have admitted, at least 0.
func (c Counts) Wrongful() int { return max(c.Inside-c.Admitted, 0) }

// Host is one simulated host: a process at an address.
type Host struct {
	Number int
	Zone   int
	Member rate.Member

	home         *rate.Home
	borrower     *rate.Borrower
	equalSplit   *equalSplit
	incarnation  uint64
	listVersion  int
	staleVersion int
	stale        bool
	planVersion  int
	alive        bool
	paused       bool
	deferred     []func()
	searches     map[string]*tokenSearch
}

// tokenSearch is a sequence of urgent lease requests with the requests that wait for their tokens.
type tokenSearch struct {
	// waiting holds the callbacks of the waiting requests in order of arrival.
	waiting      []func(admitted bool)
	homes        []rate.Member
	need         rate.Need
	expectedWait time.Duration
	deadline     time.Time
	// settled is set once a home could state when it has a token.
	settled bool
}

// popWaiting removes and returns the first waiting callback.
func (s *tokenSearch) popWaiting() func(admitted bool) {
	first := s.waiting[0]
	s.waiting = s.waiting[1:]
	return first
}

// Start is the time at which each simulation begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewSimulation returns a simulation without hosts.
func NewSimulation(seed uint64, division Division, limits rate.Limits, plans []lists.Organisation, opts ...rate.MembershipOption) *Simulation {
	sim := &Simulation{
		organisationCounts: map[string]*OrganisationCount{},
		Now:                Start, division: division, limits: limits, opts: opts, plans: plans, byName: map[rate.Member]*Host{},
		rng: rand.New(rand.NewPCG(seed, seed)), Checker: NewChecker(plans, Start), globalBuckets: NewChecker(plans, Start),
		partitioned: func(*Host, *Host) bool { return false },
	}
	sim.Network = Network{MinDelay: 200 * time.Microsecond, DelaySpread: 300 * time.Microsecond}
	return sim
}

// zones is the number of availability zones.
const zones = 3

// AddHost starts a host; it becomes a home only once it is in the host list.
func (sim *Simulation) AddHost() *Host {
	number := len(sim.hosts) + 1
	address := netip.AddrFrom4([4]byte{127, byte(number >> 16), byte(number >> 8), byte(number)})
	h := &Host{Number: number, Zone: number % zones, Member: rate.Member{Host: fmt.Sprintf("host-%d", number), Peer: netip.AddrPortFrom(address, 7001)}}
	sim.hosts = append(sim.hosts, h)
	sim.byName[h.Member] = h
	sim.startProcess(h)
	return h
}

// Hosts returns all hosts ever started.
func (sim *Simulation) Hosts() []*Host { return sim.hosts }

func (sim *Simulation) startProcess(h *Host) {
	sim.serial++
	h.incarnation = sim.serial
	h.alive, h.paused, h.listVersion = true, false, 0
	h.deferred = nil
	h.searches = map[string]*tokenSearch{}
	h.home = rate.NewHome(h.Member, h.incarnation, sim.limits, sim.Now, sim.opts...)
	h.borrower = rate.NewBorrower(h.Member.Host+"@"+h.Member.Peer.String(), h.incarnation, sim.limits)
	h.borrower.SetOwn(h.Member)
	h.equalSplit = newEqualSplit(map[string]lists.Organisation{})
	sim.applyPlans(h)
	if h.stale {
		sim.applyList(h, h.staleVersion)
	} else {
		sim.applyList(h, len(sim.hostLists))
	}
	sim.startTimers(h, h.incarnation)
}

func (sim *Simulation) applyPlans(h *Host) {
	h.planVersion = sim.planVersion
	h.home.SetPlans(sim.plans, sim.Now)
	h.borrower.SetPlans(sim.plans)
	for _, o := range sim.plans {
		h.equalSplit.plans[o.Organisation] = o
	}
}

func (sim *Simulation) applyList(h *Host, version int) {
	if version <= h.listVersion {
		return
	}
	h.listVersion = version
	members := sim.hostLists[version-1]
	h.home.SetList(uint64(version), members, sim.Now)
	h.borrower.SetList(uint64(version), members)
	h.equalSplit.setHosts(len(members))
	if sim.division == FullRate {
		h.equalSplit.setHosts(1)
	}
}

// Publish publishes the given hosts as the next version of the host list; each host that is not stale applies it within a
// second.
func (sim *Simulation) Publish(hosts []*Host) {
	members := make([]rate.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, h.Member)
	}
	sim.hostLists = append(sim.hostLists, members)
	for _, h := range sim.hosts {
		sim.announceList(h)
	}
}

func (sim *Simulation) announceList(h *Host) {
	version := len(sim.hostLists)
	sim.runOn(h, h.incarnation, sim.randomDuration(time.Second), func() {
		if !h.stale {
			sim.applyList(h, version)
		}
	})
}

// SetStale makes a host keep its present host list, or lets it catch up.
func (sim *Simulation) SetStale(h *Host, stale bool) {
	h.stale, h.staleVersion = stale, h.listVersion
	if !stale && len(sim.hostLists) > 0 {
		sim.announceList(h)
	}
}

// SetPlans changes the plans; each live host applies them within a second.
func (sim *Simulation) SetPlans(plans []lists.Organisation) {
	sim.plans = plans
	sim.planVersion++
	for _, h := range sim.hosts {
		sim.runOn(h, h.incarnation, sim.randomDuration(time.Second), func() { sim.applyPlans(h) })
	}
}

// PlansApplied reports whether every running process has applied the latest plans.
func (sim *Simulation) PlansApplied() bool {
	for _, h := range sim.hosts {
		if h.alive && h.planVersion != sim.planVersion {
			return false
		}
	}
	return true
}

// Crash ends a host's process without notice.
func (sim *Simulation) Crash(h *Host) { h.alive = false }

// Leave makes a host give up its shards and state that to the other members, and ends its process a second later.
func (sim *Simulation) Leave(h *Host) {
	for _, m := range h.home.Cease(sim.Now) {
		sim.requestStatement(h, m)
	}
	sim.After(time.Second, func() { h.alive = false })
}

// Restart starts a new process at the host's address, after ending the one that runs.
func (sim *Simulation) Restart(h *Host) {
	h.alive = false
	sim.startProcess(h)
}

// Pause stops a process until Resume.
func (sim *Simulation) Pause(h *Host) { h.paused = true }

// Resume continues a paused process, which then handles all events deferred meanwhile.
func (sim *Simulation) Resume(h *Host) {
	h.paused = false
	callbacks := h.deferred
	h.deferred = nil
	for _, f := range callbacks {
		f()
	}
}

// Alive reports whether the host's process runs and is not paused.
func (h *Host) Alive() bool { return h.alive && !h.paused }

// Partition sets which pairs of hosts can't reach each other.
func (sim *Simulation) Partition(partitioned func(a, b *Host) bool) { sim.partitioned = partitioned }

// Heal ends all partitions.
func (sim *Simulation) Heal() { sim.partitioned = func(*Host, *Host) bool { return false } }

func (sim *Simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// After runs f after the given time.
func (sim *Simulation) After(d time.Duration, f func()) {
	sim.serial++
	heap.Push(&sim.events, event{at: sim.Now.Add(d), serial: sim.serial, run: f})
}

// runOn runs f on a host's process after the given time: later if the process is paused, never if it has ended.
func (sim *Simulation) runOn(h *Host, incarnation uint64, d time.Duration, f func()) {
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
	sim.After(d, run)
}

// Run advances the virtual time by d and runs all events that are due.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.Now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.Now = e.at
		e.run()
	}
	sim.Now = end
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

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
