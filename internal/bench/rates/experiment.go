package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// Variant is one way of dividing a rate with its limits.
type Variant struct {
	Name   string
	Way    Way
	Limits rate.Limits
}

// Variants returns the ways that are weighed against each other.
func Variants() []Variant {
	lend := func(name string, fence time.Duration, shards int) Variant {
		return Variant{Name: name, Limits: rate.Limits{Fence: fence, Loan: time.Second, Shards: shards}}
	}
	return []Variant{
		{Name: "equal split", Way: Equal, Limits: rate.DefaultLimits()},
		lend("one owner, fence 70m", formerFence, 1),
		lend("16 shards, fence 30s", 30*time.Second, rate.DefaultShards),
		lend("16 shards, fence 10m", 10*time.Minute, rate.DefaultShards),
		lend("16 shards, fence 70m", formerFence, rate.DefaultShards),
		lend("16 shards, fence 95m", rate.DefaultFence, rate.DefaultShards),
		lend("64 shards, fence 70m", formerFence, 64),
	}
}

// formerFence was the default when the ways were weighed; by it their figures can be had again.
const formerFence = 70 * time.Minute

// Case is a course of events that variants go through.
type Case struct {
	Name string
	// Length is how long requests are counted, from the first fault on.
	Length time.Duration
	Fault  func(w *World)
}

// Cases returns the courses of events, each of the given length.
func Cases() []Case {
	return []Case{
		{"calm", 2 * time.Minute, func(*World) {}},
		{"crash, back after 5 s", 2 * time.Minute, func(w *World) {
			h := w.hosts[0]
			w.Crash(h)
			w.After(5*time.Second, func() { w.Restart(h) })
		}},
		{"crash, replaced after 20 s", 10 * time.Minute, func(w *World) {
			w.Crash(w.hosts[0])
			w.After(20*time.Second, func() { w.Publish(append(w.hosts[1:len(w.hosts):len(w.hosts)], w.AddHost())) })
		}},
		{"rolling restart", 5 * time.Minute, rolling},
		{"zone cut 10 min", 12 * time.Minute, func(w *World) { zoneCut(w, 10*time.Minute) }},
		{"zone cut 1 h", 65 * time.Minute, func(w *World) { zoneCut(w, time.Hour) }},
		{"stale list on a third", 10 * time.Minute, staleThird},
	}
}

// rolling restarts every host once, spread over the first four minutes.
func rolling(w *World) {
	gap := 4 * time.Minute / time.Duration(len(w.hosts))
	for i, h := range w.hosts {
		w.After(time.Duration(i)*gap, func() { w.Leave(h) })
		w.After(time.Duration(i)*gap+2*time.Second, func() { w.Restart(h) })
	}
}

// zoneCut separates one availability zone, whose hosts read a stale list, and the platform drops them.
func zoneCut(w *World, length time.Duration) {
	w.Cut(func(a, b *Host) bool { return (a.Zone == 0) != (b.Zone == 0) })
	all := append([]*Host(nil), w.hosts...)
	var rest []*Host
	for _, h := range w.hosts {
		if h.Zone == 0 {
			w.SetStale(h, true)
		} else {
			rest = append(rest, h)
		}
	}
	w.After(20*time.Second, func() { w.Publish(rest) })
	w.After(length, func() {
		w.Heal()
		w.Publish(all)
		for _, h := range all {
			w.SetStale(h, false)
		}
	})
}

// staleThird lets a host be replaced while a third of the others don't hear of it.
func staleThird(w *World) {
	for i, h := range w.hosts {
		if i%3 == 1 {
			w.SetStale(h, true)
		}
	}
	w.Leave(w.hosts[0])
	w.After(5*time.Second, func() { w.Publish(append(w.hosts[1:len(w.hosts):len(w.hosts)], w.AddHost())) })
}

// Arrival is where the callers of an organisation come in.
type Arrival uint8

// The arrivals that are compared.
const (
	// Uniform callers come in at all hosts alike.
	Uniform Arrival = iota
	// Skewed callers of one organisation come in at one host, another for each organisation, in each zone.
	Skewed
)

// String returns the arrival's name.
func (a Arrival) String() string {
	if a == Uniform {
		return "uniform"
	}
	return "skewed"
}

// Result is what one run measured.
type Result struct {
	Variant string  `json:"variant"`
	Case    string  `json:"case"`
	Arrival string  `json:"arrival"`
	Hosts   int     `json:"hosts"`
	Counts  Counts  `json:"counts"`
	Percent float64 `json:"wrongfulPercent"`
	Asking  float64 `json:"askedPercent"`
	// Messages are sent per host and second, answers counted.
	Messages float64 `json:"messagesPerHostSecond"`
	// Bytes are those of lease messages, sent per host and second.
	Bytes float64 `json:"leaseBytesPerHostSecond"`
	// Excess is how many tokens the invariant was broken by, 0 if it held.
	Excess float64 `json:"excess"`
	// Organisations tells the same of each organisation.
	Organisations []Tally `json:"organisations"`
}

// loadShare is the offered load as a share of each organisation's rate: inside it, so that all refusals are wrongful.
const loadShare = 0.8

// Organisations returns eight plans, a few of them large.
func Organisations() []lists.Organisation {
	return []lists.Organisation{
		{Organisation: "o1", Plan: "p", Rate: 200, Burst: 400},
		{Organisation: "o2", Plan: "p", Rate: 100, Burst: 100},
		{Organisation: "o3", Plan: "p", Rate: 40, Burst: 80},
		{Organisation: "o4", Plan: "p", Rate: 20, Burst: 40},
		{Organisation: "o5", Plan: "p", Rate: 10, Burst: 20},
		{Organisation: "o6", Plan: "p", Rate: 4, Burst: 8},
		{Organisation: "o7", Plan: "p", Rate: 1, Burst: 4},
		{Organisation: "o8", Plan: "p", Rate: 0.1, Burst: 1},
	}
}

// settleTime is how long a fleet runs before anything is counted.
const settleTime = time.Minute

// Run takes a fleet through a case.
func Run(v Variant, c Case, a Arrival, hosts int, seed uint64) Result {
	w := NewWorld(seed, v.Way, v.Limits, Organisations())
	for range hosts {
		w.AddHost()
	}
	w.Publish(w.Hosts())
	w.Run(2 * time.Second)
	for i, o := range w.plans {
		w.offer(o, i, a, hosts)
	}
	w.Run(settleTime)
	w.Reset()
	c.Fault(w)
	w.Run(c.Length)
	r := Result{Variant: v.Name, Case: c.Name, Arrival: a.String(), Hosts: hosts, Counts: w.Counts, Excess: w.Checker.Excess, Organisations: w.Tallies()}
	r.Percent = 100 * float64(w.Counts.Wrongful()) / float64(max(w.Counts.Inside, 1))
	r.Asking = 100 * float64(w.Counts.Asked) / float64(max(w.Counts.Arrivals, 1))
	r.Messages = float64(w.Counts.Messages) / float64(hosts) / c.Length.Seconds()
	r.Bytes = float64(w.Counts.Bytes) / float64(hosts) / c.Length.Seconds()
	return r
}

// offer lets an organisation's requests arrive as a Poisson process. A caller
// whose host does not run goes to the next one in the same availability zone.
func (w *World) offer(o lists.Organisation, number int, a Arrival, hosts int) {
	mean := 1 / (o.Rate * loadShare)
	var next func()
	next = func() {
		at := w.rng.IntN(hosts)
		if a == Skewed {
			at = (number + w.rng.IntN(zones)) % hosts
		}
		for tries := 0; tries < hosts && !w.hosts[at].Alive(); tries++ {
			at = (at + zones) % hosts
		}
		w.Arrive(w.hosts[at], o.Organisation)
		w.After(time.Duration(w.rng.ExpFloat64()*mean*float64(time.Second))+1, next)
	}
	w.After(1, next)
}
