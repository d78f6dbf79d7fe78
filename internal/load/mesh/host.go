package mesh

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
)

// host runs one instance and its daemon.
type host struct {
	fleet      *fleet
	instance   routing.Instance
	service    Service
	workFactor float64
	// ordinal is the instance's index among the serviceSize instances of its service.
	ordinal, serviceSize int

	shedder     *shed.Shedder
	balancer    *choice.Balancer
	retryBudget *repeats.Budget
	gate        *admission.Gate
	runs        *lineage.Runs

	saturationSum, saturationCount float64
	holdTimes                      map[string]allot.HoldTime
	// delivered counts the requests that reached the instance since the last heartbeat, and retryable those of them that
	// must be retried.
	delivered, retryable int

	restartState
	limitState
	crashState
}

// startDaemon starts the host's daemon without any state of an earlier one.
func (h *host) startDaemon() {
	f := h.fleet
	h.shedder = shed.New(shed.WithRand(f.random.Float64), shed.Without(f.scenario.Without))
	h.balancer = choice.New(h.instance.Zone, choice.WithRand(f.random.Float64), choice.Without(f.scenario.Without))
	h.retryBudget = repeats.New(f.scenario.RetryLimits)
	h.retryBudget.SetDaemons(f.scenario.instanceCount())
	h.pacer, h.knownLimit = &admission.Pacer{}, 0
	h.gate = newGate(h.service.Slots, h.pacer, f.random.Float64)
	h.runs = lineage.New(lineage.WithRand(f.random.Float64), lineage.WithClock(f.now))
	h.crashState = newCrashState()
	h.holdTimes = map[string]allot.HoldTime{}
	h.saturationSum, h.saturationCount, h.delivered, h.retryable = 0, 0, 0, 0
}

const (
	// Above slowFromOccupancy, a fraction of the slots, an instance's work takes slowFactor times as long.
	slowFromOccupancy = 0.95
	slowFactor        = 1.3
	waitUnit          = 50 * time.Millisecond
)

// work draws the work time of a request on the route at this instance, at its present load.
func (h *host) work(r *Route) time.Duration {
	w := float64(h.fleet.sampleWork(r.Work)) * h.workFactor
	w *= max(h.fleet.faultLevel(h.instance.Service, func(fault *Fault) float64 { return fault.SlowFactor }), 1)
	if float64(h.gate.Load().InFlight) > slowFromOccupancy*float64(h.instance.Slots) {
		w *= slowFactor
	}
	if h.cold() {
		w *= coldSlowdown
	}
	return time.Duration(w)
}

// unreachable reports whether the instance can't be reached now.
func (h *host) unreachable() bool {
	if h.fleet.now().Before(h.downUntil) {
		return true
	}
	fraction := h.fleet.faultLevel(h.instance.Service, func(fault *Fault) float64 { return fault.UnreachableFraction })
	return float64(h.ordinal) < fraction*float64(h.serviceSize)
}

func (h *host) sampleSaturation() {
	h.saturationSum += h.gate.Fullness(h.fleet.now(), waitUnit)
	h.saturationCount++
}

func (h *host) recordHoldTime(route string, took time.Duration) {
	sum := h.holdTimes[route]
	h.holdTimes[route] = allot.HoldTime{Route: route, Seconds: sum.Seconds + took.Seconds(), Count: sum.Count + 1}
}

// sendHeartbeat sends the host's report to the collector, applies the reply and schedules the next heartbeat.
func (h *host) sendHeartbeat() {
	f := h.fleet
	f.clock.After(collect.Interval, h.sendHeartbeat)
	if f.now().Before(h.daemonDownUntil) {
		return
	}
	saturation := h.gate.Fullness(f.now(), waitUnit)
	if h.saturationCount > 0 {
		saturation = h.saturationSum / h.saturationCount
	}
	h.saturationSum, h.saturationCount = 0, 0
	hb := collect.Heartbeat{
		From: netip.AddrPortFrom(h.instance.Address.Addr(), 1),
		Report: demand.Report{
			Daemons: 1, Services: map[string]demand.Service{h.instance.Service: h.report(saturation)},
			Demand: h.shedder.Demand(f.now()), RetryRates: h.retryBudget.Report(f.now()),
		},
		Work:  map[string]collect.Work{h.instance.Service: {HoldTimes: slices.Collect(maps.Values(h.holdTimes)), Delivered: h.delivered, Retryable: h.retryable}},
		Calls: h.runs.Calls(), CertainlyCalled: h.runs.CertainlyCalled(),
	}
	clear(h.holdTimes)
	h.delivered, h.retryable = 0, 0
	f.clock.After(hostDelay, func() {
		reply := f.collector.Handle(hb, collect.Fleet{Daemons: len(f.hosts), Shares: f.shares}, f.now())
		f.clock.After(hostDelay, func() {
			if !f.without(mechanism.Plan) {
				h.shedder.Apply(reply.Plan.Allocations, f.now())
			}
			if !f.without(mechanism.LentRetries) {
				h.retryBudget.Apply(reply.Grants, hb.Report.RetryRates, f.now())
			}
		})
	})
}

// report returns what the daemon reports of its instance.
func (h *host) report(saturation float64) demand.Service {
	if h.pacer.WarmUpInterval(h.fleet.now()) > 0 {
		return demand.Service{Slots: h.slots()}
	}
	return demand.Service{Instances: 1, Saturation: saturation, Slots: h.slots()}
}

// slots returns the number of slots that can be used now.
func (h *host) slots() int {
	if h.unreachable() {
		return 0
	}
	return h.gate.UsableSlots(h.fleet.now())
}
