package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// Variant is one way of dividing a rate, with its limits.
type Variant struct {
	Name     string
	Division Division
	Limits   rate.Limits
}

// Variants returns the variants that are compared.
func Variants() []Variant {
	lending := func(name string, fence time.Duration, shards int) Variant {
		return Variant{Name: name, Limits: rate.Limits{Fence: fence, Loan: time.Second, Shards: shards}}
	}
	return []Variant{
		{Name: "equal split", Division: EqualSplit, Limits: rate.DefaultLimits()},
		lending("one owner, fence 70m", formerFence, 1),
		lending("16 shards, fence 30s", 30*time.Second, rate.DefaultShards),
		lending("16 shards, fence 10m", 10*time.Minute, rate.DefaultShards),
		lending("16 shards, fence 70m", formerFence, rate.DefaultShards),
		lending("16 shards, fence 95m", rate.DefaultFence, rate.DefaultShards),
		lending("64 shards, fence 70m", formerFence, 64),
	}
}

// formerFence was the default when the variants were first compared; it is kept so that those results can be reproduced.
const formerFence = 70 * time.Minute

// Case is a scenario of faults that each variant is run through.
type Case struct {
	Name string
	// Length is the duration in which requests are counted, from the first fault on.
	Length time.Duration
	Fault  func(sim *Simulation)
}

// Cases returns the scenarios.
func Cases() []Case {
	return []Case{
		{"calm", 2 * time.Minute, func(*Simulation) {}},
		{"crash, back after 5 s", 2 * time.Minute, func(sim *Simulation) {
			h := sim.hosts[0]
			sim.Crash(h)
			sim.After(5*time.Second, func() { sim.Restart(h) })
		}},
		{"crash, replaced after 20 s", 10 * time.Minute, func(sim *Simulation) {
			sim.Crash(sim.hosts[0])
			sim.After(20*time.Second, func() { sim.Publish(append(sim.hosts[1:len(sim.hosts):len(sim.hosts)], sim.AddHost())) })
		}},
		{"rolling restart", 5 * time.Minute, rollingRestart},
		{"zone cut 10 min", 12 * time.Minute, func(sim *Simulation) { partitionZone(sim, 10*time.Minute) }},
		{"zone cut 1 h", 65 * time.Minute, func(sim *Simulation) { partitionZone(sim, time.Hour) }},
		{"stale list on a third", 10 * time.Minute, replaceHostWithStaleLists},
	}
}

// rollingRestart restarts every host once, spread over four minutes.
func rollingRestart(sim *Simulation) {
	interval := 4 * time.Minute / time.Duration(len(sim.hosts))
	for i, h := range sim.hosts {
		sim.After(time.Duration(i)*interval, func() { sim.Leave(h) })
		sim.After(time.Duration(i)*interval+2*time.Second, func() { sim.Restart(h) })
	}
}

// partitionZone separates one availability zone, whose hosts keep reading a stale host list, and then removes them from the
// list.
func partitionZone(sim *Simulation, length time.Duration) {
	sim.Partition(func(a, b *Host) bool { return (a.Zone == 0) != (b.Zone == 0) })
	all := append([]*Host(nil), sim.hosts...)
	var remaining []*Host
	for _, h := range sim.hosts {
		if h.Zone == 0 {
			sim.SetStale(h, true)
		} else {
			remaining = append(remaining, h)
		}
	}
	sim.After(20*time.Second, func() { sim.Publish(remaining) })
	sim.After(length, func() {
		sim.Heal()
		sim.Publish(all)
		for _, h := range all {
			sim.SetStale(h, false)
		}
	})
}

// replaceHostWithStaleLists replaces a host while a third of the hosts keep reading a stale host list.
func replaceHostWithStaleLists(sim *Simulation) {
	for i, h := range sim.hosts {
		if i%3 == 1 {
			sim.SetStale(h, true)
		}
	}
	sim.Leave(sim.hosts[0])
	sim.After(5*time.Second, func() { sim.Publish(append(sim.hosts[1:len(sim.hosts):len(sim.hosts)], sim.AddHost())) })
}

// Arrival is how an organisation's requests are distributed over the hosts.
type Arrival uint8

// The distributions that are compared.
const (
	// Uniform requests arrive at all hosts alike.
	Uniform Arrival = iota
	// Skewed requests of one organisation arrive at one host of each availability zone, at different ones for each organisation.
	Skewed
)

// String returns the name of the distribution.
func (a Arrival) String() string {
	if a == Uniform {
		return "uniform"
	}
	return "skewed"
}

// Result holds the measurements of one run.
type Result struct {
	Variant string  `json:"variant"`
	Case    string  `json:"case"`
	Arrival string  `json:"arrival"`
	Hosts   int     `json:"hosts"`
	Counts  Counts  `json:"counts"`
	Percent float64 `json:"wrongfulPercent"`
	Asking  float64 `json:"askedPercent"`
	// Messages is the number of messages sent per host and second, including replies.
	Messages float64 `json:"messagesPerHostSecond"`
	// Bytes is the size of the lease messages sent per host and second.
	Bytes float64 `json:"leaseBytesPerHostSecond"`
	// Excess is the greatest number of tokens by which an organisation exceeded its rate and burst, 0 if none did.
	Excess float64 `json:"excess"`
	// Organisations has the counts of each organisation.
	Organisations []OrganisationCount `json:"organisations"`
}

// offeredLoad is the offered load as a fraction of each organisation's rate. It is below 1, so that all refusals are
// wrongful.
const offeredLoad = 0.8

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

// warmUpTime is how long a fleet runs before anything is counted.
const warmUpTime = time.Minute

// Run runs a fleet with the variant through the case.
func Run(v Variant, c Case, a Arrival, hosts int, seed uint64) Result {
	sim := NewSimulation(seed, v.Division, v.Limits, Organisations())
	for range hosts {
		sim.AddHost()
	}
	sim.Publish(sim.Hosts())
	sim.Run(2 * time.Second)
	for i, o := range sim.plans {
		sim.startArrivals(o, i, a, hosts)
	}
	sim.Run(warmUpTime)
	sim.Reset()
	c.Fault(sim)
	sim.Run(c.Length)
	r := Result{Variant: v.Name, Case: c.Name, Arrival: a.String(), Hosts: hosts, Counts: sim.Counts, Excess: sim.Checker.Excess, Organisations: sim.OrganisationCounts()}
	r.Percent = 100 * float64(sim.Counts.Wrongful()) / float64(max(sim.Counts.Inside, 1))
	r.Asking = 100 * float64(sim.Counts.LeaseNeeded) / float64(max(sim.Counts.Arrivals, 1))
	r.Messages = float64(sim.Counts.Messages) / float64(hosts) / c.Length.Seconds()
	r.Bytes = float64(sim.Counts.Bytes) / float64(hosts) / c.Length.Seconds()
	return r
}

// startArrivals starts an organisation's requests as a Poisson process. A request whose host does not run goes to the next
// host in the same availability zone.
func (sim *Simulation) startArrivals(o lists.Organisation, number int, a Arrival, hosts int) {
	mean := 1 / (o.Rate * offeredLoad)
	var next func()
	next = func() {
		index := sim.rng.IntN(hosts)
		if a == Skewed {
			index = (number + sim.rng.IntN(zones)) % hosts
		}
		for tries := 0; tries < hosts && !sim.hosts[index].Alive(); tries++ {
			index = (index + zones) % hosts
		}
		sim.Arrive(sim.hosts[index], o.Organisation)
		sim.After(time.Duration(sim.rng.ExpFloat64()*mean*float64(time.Second))+1, next)
	}
	sim.After(1, next)
}
