package allot

import (
	"maps"
	"math"
	"net/netip"
	"time"
)

// HoldTime is for how long the requests of a route have held slots of one instance since its last word.
type HoldTime struct {
	Route   string  `msgpack:"route"`
	Seconds float64 `msgpack:"seconds"`
	Count   int     `msgpack:"count"`
}

// Instance is one of a service, with its slots that can be used.
type Instance struct {
	Host  netip.Addr
	Slots float64
}

// holds is for how long requests hold slots, by stage, and by instance as far as enough is known.
//
// Instances of one service differ in speed by several times. A mean over all of them is not that of those that are left when some go, and
// plans made with it fill the slow ones up to several times their slots.
type holds struct {
	stages map[stage]*mean
	hosts  map[stage]map[netip.Addr]*mean
}

// mean is the mean time for which a slot is held, over the last seconds.
type mean struct {
	seconds float64
	count   float64
	at      time.Time
	// used is the mean that plans go by, which follows the others' waits only slowly.
	used float64
}

const (
	// heldTime is how long the time for which slots are held is remembered: an instance that turns slow is known within some beats,
	// and a mean over a hundred requests is not moved by one that took long.
	heldTime = 1500 * time.Millisecond
	// priorCount is how many requests the mean of all instances stands for in that of those that are there.
	priorCount = 20
	// waitTime is how slowly plans follow a rise of the time for which requests hold slots that make calls: it holds the
	// waits of their calls, which the plan itself is about to end.
	waitTime = 5 * time.Second
	// keptTime is how long an instance is remembered that has not been heard of.
	keptTime = 10 * time.Second
	// mostStages bounds what is kept over many changes of the configuration.
	mostStages = 20_000
)

func newHolds() holds {
	return holds{stages: map[stage]*mean{}, hosts: map[stage]map[netip.Addr]*mean{}}
}

func (h *holds) add(service string, host netip.Addr, all []HoldTime, now time.Time) {
	if len(h.stages) > mostStages {
		*h = newHolds()
	}
	for _, held := range all {
		at := stage{held.Route, service}
		if h.stages[at] == nil {
			h.stages[at], h.hosts[at] = &mean{at: now}, map[netip.Addr]*mean{}
		}
		h.stages[at].add(held, now)
		one := h.hosts[at][host]
		if one == nil {
			maps.DeleteFunc(h.hosts[at], func(_ netip.Addr, m *mean) bool { return now.Sub(m.at) > keptTime })
			one = &mean{at: now}
			h.hosts[at][host] = one
		}
		one.add(held, now)
	}
}

func (m *mean) add(held HoldTime, now time.Time) {
	fade := math.Exp(-now.Sub(m.at).Seconds() / heldTime.Seconds())
	m.seconds = m.seconds*fade + held.Seconds
	m.count = m.count*fade + float64(held.Count)
	m.at = now
}

// settle brings the means that plans go by up to date.
func (h *holds) settle(s State, gap time.Duration) {
	for at, m := range h.stages {
		if m.count == 0 {
			continue
		}
		m.follow(h.fresh(at, s.Instances[at.service]), len(s.CallGraph[at.route]) > 0, gap)
	}
}

func (m *mean) follow(fresh float64, waits bool, gap time.Duration) {
	if m.used > 0 && fresh > m.used && waits {
		fresh = m.used + (fresh-m.used)*min(gap.Seconds()/waitTime.Seconds(), 1)
	}
	m.used = fresh
}

// fresh is the mean over the requests of the instances that there are now, drawn towards that of all by what little is known of them.
func (h *holds) fresh(at stage, instances []Instance) float64 {
	all := h.stages[at].seconds / h.stages[at].count
	seconds, count := priorCount*all, float64(priorCount)
	for _, i := range instances {
		if m := h.hosts[at][i.Host]; m != nil {
			seconds += m.seconds
			count += m.count
		}
	}
	return seconds / count
}

// time is how long one request holds a slot there, in seconds; 0 while none has ended.
func (h *holds) time(at stage) float64 {
	if m := h.stages[at]; m != nil {
		return m.used
	}
	return 0
}
