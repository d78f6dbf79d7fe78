package rate

import (
	"math"
	"time"
)

// How much a daemon holds ahead of need, and when it tells what it spent.
//
// The load is many daemons at which callers of one organisation come in now
// and then. If each holds a token for them, a small burst lies in stock at daemons
// whose callers don't come, and a caller elsewhere is refused inside its rate; and
// loans that nobody spends are renewed again and again.
const (
	// leastDemand in calls/s is where a daemon begins to hold tokens: below it a loan
	// would be renewed more often than spent, and a question of a millisecond or two costs less.
	leastDemand = 1.0
	// mostStock is the time for which demand is held at most, half of a default loan, so that a token is spent before it must be renewed.
	mostStock = 500 * time.Millisecond
	// stockShare of a burst is held at most by all daemons together at full rate, but for rounding up.
	stockShare = 0.25
	// leastStock lets one call be served while the question for the next token is on its way.
	leastStock = 2
	// tellShare of a burst is believed out at most, at full rate, because it was not told yet that it is spent.
	tellShare = 0.125
	// aheadPause is how long nothing is asked ahead of need after a home had nothing to spare, and
	// restTime how long that home is not asked so: without them a daemon that gets nothing asks at every tick.
	aheadPause = 100 * time.Millisecond
	restTime   = 500 * time.Millisecond
)

// target is how much to hold ahead of need.
func (p *purse) target() Parts {
	if p.demand < leastDemand {
		return 0
	}
	ahead := min(mostStock.Seconds(), p.filling(stockShare))
	return whole(max(leastStock, int(math.Ceil(p.demand*ahead))))
}

// filling returns the seconds in which the rate brings a share of the burst.
func (p *purse) filling(share float64) float64 {
	if p.plan.Rate <= 0 {
		return maxWait.Seconds()
	}
	return min(share*float64(p.plan.Burst)/p.plan.Rate, maxWait.Seconds())
}

// tellAfter is how long a spent token may go untold. A home believes it out until
// then, and its bucket does not refill by as much; most are told with the next question.
func (p *purse) tellAfter() time.Duration {
	return time.Duration(p.filling(tellShare) * float64(time.Second))
}
