package spread

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Read tells what to read at the platform.
type Read uint8

const (
	// ReadNothing means no read.
	ReadNothing Read = iota
	// ReadHosts means one read of the hosts list.
	ReadHosts
	// ReadAll means one read of every list.
	ReadAll
)

const (
	// firstReadSpread spreads the first reads of daemons that start together and know of nobody. Each
	// reads the hosts list alone: 3,400 that start in the same second make some 1,400 reads a second.
	firstReadSpread = 2500 * time.Millisecond
	// seedTime is how long a daemon with seeds leaves it to them.
	seedTime = time.Second
	// Backoff of reads while a daemon has no confirmed lists.
	leastBackoff = 500 * time.Millisecond
	mostBackoff  = 10 * time.Second
	// peersTime is how long a daemon that knows its peers leaves the other lists to them and to the readers. It is
	// longer than grace, so that the readers' word has had the time to spread.
	peersTime = 3 * time.Second
	// silenceSlack is added to two watches: the readers' word is at most one watch old plus the way here.
	silenceSlack = 5 * time.Second
	// readSpacing is the mean time between the reads of any two daemons of a fleet that hears
	// nothing of the platform: at 20 ms and four lists that is 200 calls a second.
	readSpacing = 20 * time.Millisecond
)

// readPlan tells when a daemon reads the platform itself, beside the watches of the readers.
//
// All readers of the fleet may be cut off from the platform while this daemon
// isn't. Were every daemon to read at once when it notices, or at the end
// of an outage, 3,400 of them would use up the platform's rate for seconds. So
// each waits a random time in proportion to the fleet's size.
//
// A daemon that starts doesn't know the fleet's size, and without seeds nobody to
// ask. It reads the hosts list alone, one call in place of four. That names
// its peers: the readers go on to all lists at once, and the others have
// them from peers long before their own turn comes.
type readPlan struct {
	known   bool
	at      time.Time
	backoff time.Duration
	next    time.Time
	// all is when a daemon that knows the hosts reads every list; zero means not yet planned.
	all time.Time
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

// due returns what to read now, and plans the next look.
func (p *readPlan) due(c *Core, now time.Time, skip func(host string) bool) Read {
	if c.standing == Serving {
		return p.dueServing(c, now)
	}
	if c.versions[lists.KindHosts] > 0 {
		return p.dueKnowing(c, now, skip)
	}
	if now.Before(p.next) {
		return ReadNothing
	}
	p.next = now.Add(c.around(p.backoff))
	p.backoff = min(2*p.backoff, mostBackoff)
	return ReadHosts
}

// dueServing reads all lists when the platform was silent for longer than the readers' watches explain.
func (p *readPlan) dueServing(c *Core, now time.Time) Read {
	p.backoff, p.all = leastBackoff, time.Time{}
	silence := 2*c.config.Watch + silenceSlack
	if p.known && now.Sub(p.at) < silence {
		p.next = time.Time{}
		return ReadNothing
	}
	if p.next.IsZero() {
		p.next = now.Add(c.spread())
	}
	if now.Before(p.next) {
		return ReadNothing
	}
	p.next = now.Add(silenceSlack + c.spread())
	return ReadAll
}

// dueKnowing returns what a daemon that isn't serving and knows its peers reads now. The hosts
// list may be all that helps it: its peers may have moved to other addresses.
func (p *readPlan) dueKnowing(c *Core, now time.Time, skip func(host string) bool) Read {
	if p.all.IsZero() {
		p.all, p.next = now, now.Add(c.around(mostBackoff))
		if len(c.others) > 0 && !c.Reads(skip) {
			p.all = now.Add(peersTime + c.spread())
		}
	}
	if !now.Before(p.all) {
		p.all = now.Add(c.around(p.backoff) + c.spread())
		p.backoff = min(2*p.backoff, mostBackoff)
		return ReadAll
	}
	if now.Before(p.next) {
		return ReadNothing
	}
	p.next = now.Add(c.around(mostBackoff))
	return ReadHosts
}

// around returns a random time whose mean is d, from half of it on.
func (c *Core) around(d time.Duration) time.Duration { return d/2 + c.rand(d) }

// spread returns a random time whose mean is readSpacing for each daemon of the fleet.
func (c *Core) spread() time.Duration {
	return c.rand(2 * readSpacing * time.Duration(len(c.others)+1))
}

func (c *Core) rand(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most)))
}
