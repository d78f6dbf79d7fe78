package rate

import (
	"math"
	"time"
)

// How many tokens a daemon keeps in stock, and when it reports spent ones.
//
// Designed for many daemons that each receive a request of one organisation now and then. If
// each held a token in stock, a small burst would lie unused at daemons without requests, while
// another daemon refuses requests within the organisation's rate; and unspent loans would be
// renewed over and over.
const (
	// minStockDemand is the arrival rate, in requests/s, from which a daemon keeps tokens in stock. Below it a
	// loan would be renewed more often than spent; asking for a token when it is needed takes a millisecond or two and costs less.
	minStockDemand = 1.0
	// maxStockTime is the time for which stock covers demand at most: half of a default loan, so that a token is spent before it must be renewed.
	maxStockTime = 500 * time.Millisecond
	// maxStockShare is the fraction of a burst that all daemons together keep in stock at full rate at most, apart from rounding up.
	maxStockShare = 0.25
	// minStock is in tokens. Two let one request be admitted while the next token is on its way.
	minStock = 2
	// maxUnreportedShare is the fraction of a burst that homes count as outstanding at full rate at most, because its spending is not yet reported.
	maxUnreportedShare = 0.125
	// prefetchPause is how long no home is asked for stock after one had nothing to spare, and homePrefetchPause
	// how long that one is not: without them a daemon that is granted nothing asks at every tick.
	prefetchPause     = 100 * time.Millisecond
	homePrefetchPause = 500 * time.Millisecond
)

// stockTarget is how much to keep in stock for the present demand.
func (c *tokenCache) stockTarget() Parts {
	if c.demand < minStockDemand {
		return 0
	}
	seconds := min(maxStockTime.Seconds(), c.refillSeconds(maxStockShare))
	return partsOf(max(minStock, int(math.Ceil(c.demand*seconds))))
}

// refillSeconds returns the time in which the rate refills a share of the burst.
func (c *tokenCache) refillSeconds(share float64) float64 {
	if c.plan.Rate <= 0 {
		return maxWait.Seconds()
	}
	return min(share*float64(c.plan.Burst)/c.plan.Rate, maxWait.Seconds())
}

// reportDelay is how long a spent token may stay unreported. Until then its home counts it as
// outstanding and its bucket refills by that much less; most are reported with the next lease request.
func (c *tokenCache) reportDelay() time.Duration {
	return time.Duration(c.refillSeconds(maxUnreportedShare) * float64(time.Second))
}
