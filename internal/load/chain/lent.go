package chain

import (
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// lentRates applies the fleet's rates as the daemons do: each host is a home of shards and a borrower, in a simulation whose
// clock follows that of the run.
type lentRates struct {
	fleet *fleet
	sim   *rates.Simulation
	// offset is the time by which the simulation's clock is ahead of the run's.
	offset time.Duration
}

const (
	// lentWarmUp is the time before the first request in which the simulation runs, so that homes may lend and buckets are full.
	lentWarmUp = 30 * time.Second
	// lentStepInterval is how often the simulation catches up with the run while no request arrives.
	lentStepInterval = time.Millisecond
)

func (f *fleet) newLentRates(seed uint64) *lentRates {
	var plans []lists.Organisation
	for i, name := range f.organisations {
		perSecond := f.buckets[i].rate
		plans = append(plans, lists.Organisation{Organisation: name, Plan: "p", Rate: perSecond, Burst: int(math.Round(perSecond * burstSeconds))})
	}
	l := &lentRates{fleet: f, sim: rates.NewSimulation(seed, rates.Lending, rate.DefaultLimits(), plans)}
	for range f.hosts {
		l.sim.AddHost()
	}
	l.sim.Publish(l.sim.Hosts())
	l.sim.Run(lentWarmUp)
	l.offset = l.sim.Now.Sub(f.clock.Now)
	l.step(f.clock.Now.Add(runEnd))
	return l
}

// step advances the simulation with the run until the given time.
func (l *lentRates) step(until time.Time) {
	l.catchUp()
	if l.fleet.clock.Now.Before(until) {
		l.fleet.clock.After(lentStepInterval, func() { l.step(until) })
	}
}

func (l *lentRates) catchUp() {
	l.sim.Run(l.fleet.clock.Now.Add(l.offset).Sub(l.sim.Now))
}

// spend requests a token at the host; decided is called in the run's time.
func (l *lentRates) spend(h *host, organisation int, decided func(admitted bool)) {
	l.catchUp()
	l.sim.Decide(l.sim.Hosts()[h.index], l.fleet.organisations[organisation], decided)
}
