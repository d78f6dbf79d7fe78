package collect

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
)

const (
	timeStep = 10 * time.Millisecond
	// avoidTTL is how long a collector that did not reply is skipped.
	avoidTTL = 3 * time.Second
	// Bound on the requests admitted in any window of 5 s: the rate limit plus overage, plus slack requests.
	window  = 5 * time.Second
	overage = 0.25
	slack   = 20.0
	// usualFraction is the fraction of its rate limit that an organisation uses at normal load.
	usualFraction = 1 / 1.6
	// maxPlanAge bounds the age of the plan that a daemon uses, maxHeartbeatsPerSecond the heartbeats that one daemon handles.
	maxPlanAge             = 500 * time.Millisecond
	maxHeartbeatsPerSecond = 700
)

// fleet simulates daemons with their collectors in virtual time, and the clients of one organisation.
type fleet struct {
	size     int
	rng      *rand.Rand
	start    time.Time
	now      time.Time
	topology *Topology
	rate     quota.RateLimit
	daemons  []*daemon
	byHost   map[netip.Addr]*daemon
	clients  []int
	// admittedAt has the times of the admitted requests; requested and rejected count requests.
	admittedAt          []time.Duration
	requested, rejected int
	// maxAge is the highest age of a plan that a daemon has used.
	maxAge time.Duration
	// storeWithin means that only the daemons that aren't partitioned hear from the store. expiredAt is when the others left their list; zero if
	// they are listed.
	storeWithin bool
	expiredAt   time.Time
}

// daemon is one simulated daemon.
type daemon struct {
	*quota.Quota
	*Collector
	address           netip.AddrPort
	startedAt         time.Time
	nextHeartbeat     time.Time
	avoidedUntil      map[netip.Addr]time.Time
	latestPlan        Plan
	planMadeAt        time.Time
	missingHosts      []netip.Addr
	handled           int
	dead, partitioned bool
}

type discardObserver struct{}

func (discardObserver) PlanLimited([]allot.Shortage, int) {}

func (discardObserver) DaemonLeaving(netip.Addr) {}

func (discardObserver) OrganisationSurges(shares.Surge) {}

func (discardObserver) RatesLimited(RateLimits) {}

func newFleet(size, clients int, perSecond float64) *fleet {
	f := &fleet{
		size: size, rng: rand.New(rand.NewPCG(11, uint64(size))), now: time.Unix(1000, 0), byHost: map[netip.Addr]*daemon{},
		rate: quota.RateLimit{PerSecond: perSecond, Burst: perSecond},
	}
	f.start = f.now
	hosts := newHosts(size, 11)
	f.topology = NewTopology(hosts)
	for _, h := range hosts {
		d := &daemon{address: netip.AddrPortFrom(h.Address, 1)}
		f.daemons = append(f.daemons, d)
		f.byHost[h.Address] = d
		f.restart(d)
	}
	for range clients {
		f.clients = append(f.clients, f.rng.IntN(size))
	}
	return f
}

// restart starts the daemon without any state.
func (f *fleet) restart(d *daemon) {
	rates := map[string]quota.RateLimit{"o": f.rate}
	d.Quota = quota.New(quota.WithRand(f.rng.Float64))
	d.Quota.Configure(rates)
	d.SetDaemons(f.size)
	d.Collector = New(discardObserver{}, mechanism.Set{})
	d.Collector.Configure(rates)
	d.startedAt, d.avoidedUntil, d.dead, d.latestPlan, d.planMadeAt = f.now, map[netip.Addr]time.Time{}, false, Plan{}, time.Time{}
	d.nextHeartbeat = f.now.Add(time.Duration(f.rng.Float64() * float64(Interval)))
}

func (d *daemon) usable(now time.Time) func(netip.Addr) bool {
	return func(a netip.Addr) bool { return !now.Before(d.avoidedUntil[a]) }
}

// send delivers a heartbeat to the daemon on the host, unless that is unreachable.
func (f *fleet) send(d *daemon, to netip.Addr, hb Heartbeat) (Reply, bool) {
	collector := f.byHost[to]
	if collector.dead || collector.partitioned != d.partitioned {
		d.avoidedUntil[to] = f.now.Add(avoidTTL)
		d.DropPlan()
		return Reply{}, false
	}
	collector.handled++
	return collector.Handle(hb, f.describe(collector), f.now), true
}

// describe returns the fleet as the daemon knows it from its list.
func (f *fleet) describe(d *daemon) Fleet {
	known := Fleet{Daemons: len(f.daemons), Members: f.topology.Members(d.address.Addr())}
	if f.expiredAt.IsZero() || d.partitioned {
		return known
	}
	partitioned := f.partitionedDaemons()
	known.Daemons -= partitioned
	if f.now.Sub(f.expiredAt) <= departureTTL {
		known.Departed = partitioned
	}
	return known
}

func (f *fleet) partitionedDaemons() int {
	count := 0
	for _, d := range f.daemons {
		if d.partitioned {
			count++
		}
	}
	return count
}

// expire removes the partitioned hosts from the list of the others.
func (f *fleet) expire() {
	f.expiredAt = f.now
	for _, d := range f.daemons {
		if !d.partitioned {
			d.SetDaemons(len(f.daemons) - f.partitionedDaemons())
		}
	}
}

// sendHeartbeat sends one heartbeat of the daemon.
func (f *fleet) sendHeartbeat(d *daemon) {
	own := d.address.Addr()
	collectors := f.topology.Group(own, 3, d.usable(f.now))
	d.nextHeartbeat = f.now.Add(Interval)
	if !f.topology.Flat() && collectors[0] == own {
		d.nextHeartbeat = f.now.Add(GroupInterval)
		f.sendGroupHeartbeat(d)
	}
	hb := Heartbeat{
		From: d.address, CountedFor: f.now.Sub(d.startedAt), Counts: d.Report(f.now),
		Report: demand.Report{Daemons: 1, Services: map[string]demand.Service{"s": {Instances: 1, Saturation: 1, Slots: 10}}},
	}
	if collectors[0] != own {
		hb.Reporters = d.Reporters(f.now)
	}
	for _, to := range collectors {
		reply, ok := f.send(d, to, hb)
		if !ok {
			continue
		}
		d.missingHosts = reply.Missing
		if to != own {
			d.Collector.Apply(reply, f.now)
		}
		d.latestPlan, d.planMadeAt = reply.Plan, f.now.Add(-reply.Plan.Age)
		if known := f.describe(d); known.MadeForMost(reply.Plan) {
			d.Renew(d.planMadeAt)
		}
		if !f.storeWithin || !d.partitioned {
			d.Renew(f.now)
		}
		if reply.Plan.Settled {
			d.Quota.Apply(reply.Plan.Rates, d.planMadeAt)
		}
		return
	}
}

func (f *fleet) sendGroupHeartbeat(d *daemon) {
	var hb Heartbeat
	for _, to := range f.topology.Fleet(3, d.usable(f.now)) {
		if to == d.address.Addr() {
			return
		}
		if !hb.Group {
			hb.From = d.address
			d.FillGroup(&hb, f.topology.Members(d.address.Addr()), f.now)
		}
		if reply, ok := f.send(d, to, hb); ok {
			d.Collector.Apply(reply, f.now)
			d.SetGrants(reply.Grants, f.now)
			return
		}
	}
}

// run simulates the fleet for a while, with clients that together send the given multiple of the usual load.
func (f *fleet) run(duration time.Duration, load float64) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(timeStep) {
		for _, d := range f.daemons {
			if !d.dead && !f.now.Before(d.nextHeartbeat) {
				f.sendHeartbeat(d)
			}
			if !d.dead && !d.planMadeAt.IsZero() {
				f.maxAge = max(f.maxAge, f.now.Sub(d.planMadeAt))
			}
		}
		for requests := f.rate.PerSecond * usualFraction * load * timeStep.Seconds(); requests > 0; requests-- {
			if requests >= 1 || f.rng.Float64() < requests {
				f.sendRequest()
			}
		}
	}
}

func (f *fleet) sendRequest() {
	client := f.rng.IntN(len(f.clients))
	for f.daemons[f.clients[client]].dead {
		f.clients[client] = f.rng.IntN(len(f.daemons))
	}
	decision := f.daemons[f.clients[client]].Admit("o", f.now)
	f.requested++
	if decision.Admitted {
		f.admittedAt = append(f.admittedAt, f.now.Sub(f.start))
	} else {
		f.rejected++
	}
}

func (f *fleet) moveClients(fraction float64) {
	for c := range f.clients {
		if f.rng.Float64() < fraction {
			f.clients[c] = f.rng.IntN(len(f.daemons))
		}
	}
}

// kill stops a random fraction of the daemons.
func (f *fleet) kill(fraction float64) {
	for _, n := range f.rng.Perm(len(f.daemons))[:int(fraction*float64(len(f.daemons)))] {
		f.daemons[n].dead = true
	}
}

// warmUp runs the fleet without load until the daemons have plans, and resets what is measured.
func (f *fleet) warmUp() {
	f.run(3*time.Second, 0)
	f.maxAge = 0
	for _, d := range f.daemons {
		d.handled = 0
	}
}

func (f *fleet) maxAdmittedInWindow() int {
	most, from := 0, 0
	for to := range f.admittedAt {
		for f.admittedAt[to]-f.admittedAt[from] > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (f *fleet) admissionBound() int {
	return int((f.rate.PerSecond*window.Seconds()+f.rate.Burst)*(1+overage) + slack)
}

// withCurrentPlan counts the daemons that have a current plan based on the reports of at least so many daemons.
func (f *fleet) withCurrentPlan(daemons int) int {
	count := 0
	for _, d := range f.daemons {
		if !d.dead && d.latestPlan.Daemons >= daemons && f.now.Sub(d.planMadeAt) <= maxPlanAge {
			count++
		}
	}
	return count
}

var sizes = []int{17, 95, 300, 1000, 3400}

func eachSize(check func(size int)) {
	for _, size := range sizes {
		Convey(fmt.Sprintf("%d daemons", size), func() { check(size) })
	}
}
