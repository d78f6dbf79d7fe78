package shares_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

const (
	tick = 10 * time.Millisecond
	// callsPerRequest are the sub-calls of one request to the scarce service, each of callSeconds.
	callsPerRequest = 4
	callSeconds     = 0.055
	// maxWait is the queueing time from which on a sub-call is given up, which wastes half of the request's work.
	maxWait = 250 * time.Millisecond
	// Of the hosts, instances have an instance of the scarce service.
	hosts            = 74
	instances        = 18
	slotsPerInstance = 4
	capacity         = instances * slotsPerInstance / (callsPerRequest * callSeconds)
	organisations    = 80
	skew             = 0.8
	// usualFraction is the fraction of its rate that an organisation usually sends.
	usualFraction = 1 / 1.6
)

// scarce is the class whose requests call the scarce service, and ample one whose requests don't.
var (
	scarce = shed.Class{Route: "lookup", Service: "front"}
	ample  = shed.Class{Route: "photo", Service: "photos"}
)

// scenario is a load on a fleet in front of a scarce service.
type scenario struct {
	// load is the usual demand of all organisations for the scarce service, as a fraction of its capacity.
	load float64
	// demandFactor returns the multiple of its usual demand that an organisation sends at the given time.
	demandFactor func(organisation int, at time.Duration) float64
	// usual replaces the usual demand of some organisations, in requests per second.
	usual map[int]float64
	// unlimited means that no rate limit refuses the surge.
	unlimited bool
	// returns is how often a refused caller comes back.
	returns int
	without mechanism.Set
	// oldDaemons is the number of daemons that ignore the list of surging organisations.
	oldDaemons int
	// lostReply reports whether the reply to a daemon is lost at the given time.
	lostReply func(daemon int, at time.Duration) bool
	// restartAt is when the collector loses its state; 0 for never.
	restartAt time.Duration
}

// daemon is a simulated daemon.
type daemon struct {
	*quota.Quota
	*shed.Shedder
	*shares.Fractions
	address netip.AddrPort
	offset  int
}

// outcome counts the requests of one organisation for the scarce service. Offered leaves out those that the rate limit refused.
type outcome struct{ requested, offered, served float64 }

// model simulates a fleet in steps of a tick.
type model struct {
	scenario
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	collector *collect.Collector
	daemons   []*daemon
	usualRate []float64
	rates     map[string]quota.RateLimit
	returning map[int][]caller
	step      int
	// queue is the work in slot-seconds that waits; the others are what the scarce service has done since the last heartbeats.
	queue, saturation, held float64
	ticksSince              int
	listed                  []shares.Surge
	everListed              map[string]bool
	outcomes                []outcome
	ampleRefused            int
	surging                 int
}

// caller is a request that comes back.
type caller struct{ organisation, returns int }

func newModel(s scenario, seed uint64) *model {
	m := &model{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0), now: time.Unix(1000, 0), rates: map[string]quota.RateLimit{},
		returning: map[int][]caller{}, everListed: map[string]bool{}, outcomes: make([]outcome, organisations),
	}
	m.setUsualRates()
	m.replaceCollector()
	for n := range hosts {
		d := &daemon{
			Quota: quota.New(quota.WithRand(m.rng.Float64)), Shedder: shed.New(shed.WithRand(m.rng.Float64)), Fractions: shares.NewFractions(),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), offset: m.rng.IntN(int(collect.Interval / tick)),
		}
		d.Quota.Configure(m.rates)
		d.SetDaemons(hosts)
		m.daemons = append(m.daemons, d)
	}
	return m
}

func name(organisation int) string { return fmt.Sprint("o", organisation) }

func (m *model) setUsualRates() {
	total := 0.0
	for n := range organisations {
		m.usualRate = append(m.usualRate, math.Pow(float64(n+1), -skew))
		total += m.usualRate[n]
	}
	for n := range organisations {
		m.usualRate[n] *= m.load * capacity / total
		if replaced, ok := m.usual[n]; ok {
			m.usualRate[n] = replaced
		}
		perSecond := m.usualRate[n] / usualFraction
		if m.unlimited {
			perSecond = 1e6
		}
		m.rates[name(n)] = quota.RateLimit{PerSecond: perSecond, Burst: perSecond}
	}
}

func (m *model) replaceCollector() {
	m.collector = collect.New(m, m.without)
	m.collector.Configure(m.rates)
}

func (m *model) PlanLimited([]allot.Shortage, int) {}

func (m *model) DaemonLeaving(netip.Addr) {}

func (m *model) RatesLimited(collect.RateLimits) {}

func (m *model) OrganisationSurges(surge shares.Surge) { m.everListed[surge.Organisation] = true }

// elapsed is the simulated time.
func (m *model) elapsed() time.Duration { return m.now.Sub(m.start) }

// play simulates the time until the given one.
func (m *model) play(until time.Duration) {
	for m.elapsed() < until {
		m.step++
		m.now = m.now.Add(tick)
		if m.restartAt > 0 && m.elapsed() == m.restartAt {
			m.replaceCollector()
		}
		m.sendRequests()
		m.work()
		for n, d := range m.daemons {
			if m.step%int(collect.Interval/tick) == d.offset {
				m.heartbeat(n, d)
			}
		}
	}
}

// measure simulates the time until the given one and returns its outcomes.
func (m *model) measure(until time.Duration) []outcome {
	clear(m.outcomes)
	clear(m.everListed)
	m.ampleRefused, m.surging = 0, 0
	m.play(until)
	return m.outcomes
}

func (m *model) sendRequests() {
	for n, usual := range m.usualRate {
		for left := usual * m.demandFactor(n, m.elapsed()) * tick.Seconds(); left > 0; left-- {
			if left >= 1 || m.rng.Float64() < left {
				m.send(caller{n, 0})
			}
		}
	}
	for _, c := range m.returning[m.step] {
		m.send(c)
	}
	delete(m.returning, m.step)
}

// send sends a request to a random daemon, with another one that doesn't need the scarce service.
func (m *model) send(c caller) {
	d := m.daemons[m.rng.IntN(len(m.daemons))]
	o := &m.outcomes[c.organisation]
	if c.returns == 0 {
		o.requested++
	}
	limited := d.Quota.Admit(name(c.organisation), m.now)
	if !limited.Admitted {
		m.comeBack(c, limited.RetryAfter)
		return
	}
	if c.returns == 0 {
		o.offered++
	}
	usual := d.Usual(name(c.organisation), m.now)
	if !d.AdmitUsual(ample, usual, 0, m.now).Admitted {
		m.ampleRefused++
	}
	if decision := d.AdmitUsual(scarce, usual, 0, m.now); !decision.Admitted {
		d.Refund(name(c.organisation), limited)
		m.comeBack(c, decision.RetryAfter)
		return
	}
	const work = callsPerRequest * callSeconds
	if m.wait() > maxWait {
		m.queue += work / 2
		return
	}
	m.queue += work
	o.served++
}

func (m *model) comeBack(c caller, after time.Duration) {
	if c.returns < m.returns {
		due := m.step + max(int(after/tick), 1)
		m.returning[due] = append(m.returning[due], caller{c.organisation, c.returns + 1})
	}
}

func (m *model) wait() time.Duration {
	return time.Duration(m.queue / (instances * slotsPerInstance) * float64(time.Second))
}

// work runs what the slots of the scarce service allow in one tick.
func (m *model) work() {
	available := instances * slotsPerInstance * tick.Seconds()
	done := min(m.queue, available)
	m.queue -= done
	m.held += done
	m.saturation += done/available + m.wait().Seconds()/0.05
	m.ticksSince++
}

func (m *model) heartbeat(n int, d *daemon) {
	hb := collect.Heartbeat{
		From: d.address, CountedFor: m.elapsed(), Counts: d.Report(m.now),
		Report: demand.Report{Daemons: 1, Demand: d.Demand(m.now)}, Calls: graph.Edges{scarce.Route: {"leg": callsPerRequest}},
	}
	if n < instances {
		hb.Report.Services = map[string]demand.Service{"scarce": {Instances: 1, Saturation: m.saturation / float64(max(m.ticksSince, 1)), Slots: slotsPerInstance}}
		hb.Work = map[string]collect.Work{"scarce": {HoldTimes: []allot.HoldTime{{Route: "leg", Seconds: m.held, Count: int(m.held / callSeconds)}}}}
		m.held = 0
	}
	if n == 0 {
		m.saturation, m.ticksSince = 0, 0
	}
	reply := m.collector.Handle(hb, collect.Fleet{Daemons: hosts, Shares: servicesOf}, m.now)
	m.listed = reply.Plan.Surges
	m.surging = max(m.surging, len(m.listed))
	if m.lostReply != nil && m.lostReply(n, m.elapsed()) {
		return
	}
	if reply.Plan.Settled {
		d.Quota.Apply(reply.Plan.Rates, m.now)
	}
	if n < m.oldDaemons {
		d.Shedder.Apply(reply.Plan.Allocations, m.now)
		return
	}
	d.Shedder.Apply(append(reply.Plan.Allocations[:len(reply.Plan.Allocations):len(reply.Plan.Allocations)], reply.Plan.Surplus...), m.now)
	d.Fractions.Apply(reply.Plan.Surges, m.now)
}

func servicesOf(route string) map[string]float64 {
	return map[string]map[string]float64{"leg": {"scarce": 1}}[route]
}

// servedFractions returns the served fraction of the requests within their rate limit, of the surging organisations and of all others.
func servedFractions(outcomes []outcome, surging ...int) (ofSurging, ofOthers float64) {
	isHot := map[int]bool{}
	for _, n := range surging {
		isHot[n] = true
	}
	var sums [2]outcome
	for n, o := range outcomes {
		sum := &sums[0]
		if isHot[n] {
			sum = &sums[1]
		}
		sum.offered += o.offered
		sum.served += o.served
	}
	return sums[1].served / max(sums[1].offered, 1), sums[0].served / max(sums[0].offered, 1)
}
