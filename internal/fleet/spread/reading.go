package spread

import (
	"math/rand/v2"
	"time"
)

const (
	// firstReadSpread spreads the first reads of daemons that start together, as a zone does after a
	// power cut: four reads of 309 daemons in a second stay under the platform's 2,000 a second.
	firstReadSpread = time.Second
	// seedTime is how long a daemon with seeds leaves it to them.
	seedTime = time.Second
	// Backoff of reads while a daemon has no confirmed lists.
	leastBackoff = 500 * time.Millisecond
	mostBackoff  = 10 * time.Second
	// silenceSlack is added to two watches: the readers' word is at most one watch old plus the way here.
	silenceSlack = 5 * time.Second
	// readSpacing is the mean time between the reads of any two daemons of a fleet that hears
	// nothing of the platform: at 20 ms and four lists that is 200 calls a second.
	readSpacing = 20 * time.Millisecond
)

// readPlan tells when a daemon that isn't a reader reads the platform itself.
//
// All readers of the fleet may be cut off from the platform while this daemon
// isn't. Were every daemon to read at once when it notices, or at the end
// of an outage, 3,400 of them would use up the platform's rate for seconds. So
// each waits a random time in proportion to the fleet's size.
type readPlan struct {
	known   bool
	at      time.Time
	backoff time.Duration
	next    time.Time
}

func newReadPlan(rng *rand.Rand, seeded bool, now time.Time) readPlan {
	wait := time.Duration(rng.Int64N(int64(firstReadSpread)))
	if seeded {
		wait += seedTime
	}
	return readPlan{backoff: leastBackoff, next: now.Add(wait)}
}

// hear notes that the platform answered someone at the given time.
func (p *readPlan) hear(at time.Time) {
	if !p.known || at.After(p.at) {
		p.known, p.at = true, at
	}
}

func (p *readPlan) age(now time.Time) time.Duration {
	if !p.known {
		return -1
	}
	return max(now.Sub(p.at), 0)
}

// due reports whether to read now, and plans the next look.
func (p *readPlan) due(c *Core, now time.Time) bool {
	silence := 2*c.config.Watch + silenceSlack
	if c.standing == Serving && p.known && now.Sub(p.at) < silence {
		p.backoff = leastBackoff
		p.next = time.Time{}
		return false
	}
	if p.next.IsZero() {
		p.next = now.Add(c.spread())
	}
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(p.wait(c))
	p.backoff = min(2*p.backoff, mostBackoff)
	return true
}

// wait returns the time to the next read: while starting by growing backoff, later by the size of the fleet.
func (p *readPlan) wait(c *Core) time.Duration {
	if c.standing == Serving {
		return silenceSlack + c.spread()
	}
	return p.backoff/2 + c.rand(p.backoff)
}

// spread returns a random time whose mean is readSpacing for each daemon of the fleet.
func (c *Core) spread() time.Duration {
	return c.rand(2 * readSpacing * time.Duration(len(c.others)+1))
}

func (c *Core) rand(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most)))
}
