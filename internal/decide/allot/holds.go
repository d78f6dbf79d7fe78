package allot

import (
	"maps"
	"math"
	"net/netip"
	"time"
)

// HoldTime is the total time that requests of a route held slots of one instance since its last heartbeat, and their number.
type HoldTime struct {
	Route   string  `msgpack:"route"`
	Seconds float64 `msgpack:"seconds"`
	Count   int     `msgpack:"count"`
}

// Instance is one instance of a service and the number of its usable slots.
type Instance struct {
	Host  netip.Addr
	Slots float64
}

// holdTimes estimates how long requests hold slots, by route and service, over all instances and on each host.
//
// Instances of one service differ in speed by several times. When some of them go, a mean over all is wrong for those that remain, and
// plans based on it fill slow instances up to several times their slots.
type holdTimes struct {
	byService map[routeService]*mean
	byHost    map[routeService]map[netip.Addr]*mean
}

// mean is an exponentially decayed mean hold time.
type mean struct {
	seconds float64
	count   float64
	updated time.Time
	// planned is the mean that plans use; it rises only slowly where the hold time contains waits for sub-calls.
	planned float64
}

const (
	// holdTimeConstant is the time constant of the decay: an instance that becomes slow is noticed within a few heartbeats, and
	// a single slow request doesn't move a mean over a hundred.
	holdTimeConstant = 1500 * time.Millisecond
	// priorRequests is the weight, in requests, of the mean over all instances in the estimate for the current ones.
	priorRequests = 20
	// riseTimeConstant is how slowly plans follow a rise of the hold time of requests with sub-calls: that time includes waits for
	// the sub-calls, which the plan itself is about to end.
	riseTimeConstant = 5 * time.Second
	// instanceTTL is how long an instance is retained without new samples.
	instanceTTL = 10 * time.Second
	// maxRouteServices bounds the memory used over many configuration changes.
	maxRouteServices = 20_000
)

func newHoldTimes() holdTimes {
	return holdTimes{byService: map[routeService]*mean{}, byHost: map[routeService]map[netip.Addr]*mean{}}
}

func (h *holdTimes) add(service string, host netip.Addr, samples []HoldTime, now time.Time) {
	if len(h.byService) > maxRouteServices {
		*h = newHoldTimes()
	}
	for _, sample := range samples {
		key := routeService{sample.Route, service}
		if h.byService[key] == nil {
			h.byService[key], h.byHost[key] = &mean{updated: now}, map[netip.Addr]*mean{}
		}
		h.byService[key].add(sample, now)
		onHost := h.byHost[key][host]
		if onHost == nil {
			maps.DeleteFunc(h.byHost[key], func(_ netip.Addr, m *mean) bool { return now.Sub(m.updated) > instanceTTL })
			onHost = &mean{updated: now}
			h.byHost[key][host] = onHost
		}
		onHost.add(sample, now)
	}
}

func (m *mean) add(sample HoldTime, now time.Time) {
	decay := math.Exp(-now.Sub(m.updated).Seconds() / holdTimeConstant.Seconds())
	m.seconds = m.seconds*decay + sample.Seconds
	m.count = m.count*decay + float64(sample.Count)
	m.updated = now
}

// updatePlanned updates the means that plans use.
func (h *holdTimes) updatePlanned(s State, elapsed time.Duration) {
	for key, m := range h.byService {
		if m.count == 0 {
			continue
		}
		m.updatePlanned(h.current(key, s.Instances[key.service]), len(s.CallGraph[key.route]) > 0, elapsed)
	}
}

func (m *mean) updatePlanned(current float64, hasSubCalls bool, elapsed time.Duration) {
	if m.planned > 0 && current > m.planned && hasSubCalls {
		current = m.planned + (current-m.planned)*min(elapsed.Seconds()/riseTimeConstant.Seconds(), 1)
	}
	m.planned = current
}

// current is the mean hold time on the given instances, drawn towards the mean of all instances where there are few samples.
func (h *holdTimes) current(key routeService, instances []Instance) float64 {
	overall := h.byService[key].seconds / h.byService[key].count
	seconds, count := priorRequests*overall, float64(priorRequests)
	for _, i := range instances {
		if m := h.byHost[key][i.Host]; m != nil {
			seconds += m.seconds
			count += m.count
		}
	}
	return seconds / count
}

// estimate returns how long one request holds a slot of the service, in seconds, or 0 before any request has ended.
func (h *holdTimes) estimate(key routeService) float64 {
	if m := h.byService[key]; m != nil {
		return m.planned
	}
	return 0
}
