package chain

import (
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// lentRates is the fleet's rates as the daemons keep them: each host is a home
// of shards and a borrower, in a world whose time follows the run's.
type lentRates struct {
	fleet *fleet
	world *rates.Simulation
	// ahead is how far the world's clock is ahead of the run's.
	ahead time.Duration
}

const (
	// lentSettle is how long the rates run before the first request, so that homes may lend and buckets are full.
	lentSettle = 30 * time.Second
	// lentStep is how often the world catches up with the run while nothing arrives.
	lentStep = time.Millisecond
)

func (f *fleet) newLentRates(seed uint64) *lentRates {
	var plans []lists.Organisation
	for i, name := range f.names {
		perSecond := f.buckets[i].rate
		plans = append(plans, lists.Organisation{Organisation: name, Plan: "p", Rate: perSecond, Burst: int(math.Round(perSecond * burst))})
	}
	l := &lentRates{fleet: f, world: rates.NewSimulation(seed, rates.Lending, rate.DefaultLimits(), plans)}
	for range f.all {
		l.world.AddHost()
	}
	l.world.Publish(l.world.Hosts())
	l.world.Run(lentSettle)
	l.ahead = l.world.Now.Sub(f.clock.Now)
	l.step(f.clock.Now.Add(finishAt))
	return l
}

// step lets the world follow until the given time.
func (l *lentRates) step(until time.Time) {
	l.catchUp()
	if l.fleet.clock.Now.Before(until) {
		l.fleet.clock.After(lentStep, func() { l.step(until) })
	}
}

func (l *lentRates) catchUp() {
	l.world.Run(l.fleet.clock.Now.Add(l.ahead).Sub(l.world.Now))
}

// spend asks for a token at the host; decided is told in the run's time.
func (l *lentRates) spend(h *host, organisation int, decided func(admitted bool)) {
	l.catchUp()
	l.world.Decide(l.world.Hosts()[h.number], l.fleet.names[organisation], decided)
}
