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

// host is an instance with its daemon.
type host struct {
	fleet    *fleet
	instance routing.Instance
	speed    float64
	// ordinal is the instance's number among so many of its service.
	ordinal, of int

	shedder *shed.Shedder
	chooser *choice.Balancer
	repeats *repeats.Budget
	gate    *admission.Gate
	runs    *lineage.Runs

	fullSum, fullCount float64
	held               map[string]allot.HoldTime
	// seen and wasted count what reached the instance and what has to be sent again, since the last beat.
	seen, wasted int
}

// kneeFrom is the part of the slots from which on an instance works slower, by knee.
const (
	kneeFrom = 0.95
	knee     = 1.3
	waitUnit = 50 * time.Millisecond
)

// work is how long a run of the route works at the instance now.
func (h *host) work(r *Route) time.Duration {
	w := float64(h.fleet.vary(r.Work)) * h.speed
	w *= max(h.fleet.trouble(h.instance.Service, func(t *Trouble) float64 { return t.Slow }), 1)
	if float64(h.gate.Load().InFlight) > kneeFrom*float64(h.instance.Slots) {
		w *= knee
	}
	return time.Duration(w)
}

// gone reports whether the instance takes no request now.
func (h *host) gone() bool {
	part := h.fleet.trouble(h.instance.Service, func(t *Trouble) float64 { return t.Gone })
	return float64(h.ordinal) < part*float64(h.of)
}

func (h *host) found() {
	h.fullSum += h.gate.Fullness(waitUnit)
	h.fullCount++
}

func (h *host) hold(route string, took time.Duration) {
	held := h.held[route]
	h.held[route] = allot.HoldTime{Route: route, Seconds: held.Seconds + took.Seconds(), Count: held.Count + 1}
}

// beat tells the collector what the host sees, and takes in its plan.
func (h *host) beat() {
	f := h.fleet
	f.clock.After(collect.Interval, h.beat)
	full := h.gate.Fullness(waitUnit)
	if h.fullCount > 0 {
		full = h.fullSum / h.fullCount
	}
	h.fullSum, h.fullCount = 0, 0
	told := collect.Heartbeat{
		From: netip.AddrPortFrom(h.instance.Address.Addr(), 1),
		Report: demand.Report{
			Daemons: 1, Services: map[string]demand.Service{h.instance.Service: {Instances: 1, Saturation: full, Slots: h.slots()}},
			Demand: h.shedder.Demand(f.now()), RetryRates: h.repeats.Report(f.now()),
		},
		Work:  map[string]collect.Work{h.instance.Service: {HoldTimes: slices.Collect(maps.Values(h.held)), Delivered: h.seen, Retryable: h.wasted}},
		Calls: h.runs.Calls(),
	}
	clear(h.held)
	h.seen, h.wasted = 0, 0
	f.clock.After(oneWay, func() {
		back := f.collector.Handle(told, collect.Fleet{Daemons: len(f.hosts), Shares: f.shares}, f.now())
		f.clock.After(oneWay, func() {
			if !f.without(mechanism.Plan) {
				h.shedder.Apply(back.Plan.Allocations, f.now())
			}
			if !f.without(mechanism.LentRetries) {
				h.repeats.Apply(back.Grants, told.Report.RetryRates, f.now())
			}
		})
	})
}

// slots are those that can be used now.
func (h *host) slots() int {
	if h.gone() {
		return 0
	}
	return h.gate.Load().Limit
}
