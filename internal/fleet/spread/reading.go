package spread

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Read says what to read from the platform.
type Read uint8

const (
	// ReadNothing means no read.
	ReadNothing Read = iota
	// ReadHosts means one read of the host list.
	ReadHosts
	// ReadAll means one read of every list.
	ReadAll
)

const (
	// firstReadSpread spreads the first reads of daemons that start together and know no peer. Each
	// reads the host list alone: 3,400 that start in the same second make about 1,400 reads a second.
	firstReadSpread = 2500 * time.Millisecond
	// seedHeadStart is how long a daemon with seeds waits for lists from them before it reads the platform.
	seedHeadStart = time.Second
	// Backoff of reads while a daemon has no confirmed lists.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// peersHeadStart is how long a daemon that knows its peers waits for the other lists from them before it reads all
	// itself. It is longer than confirmGrace, so that what the readers read has had time to spread.
	peersHeadStart = 3 * time.Second
	// silenceSlack is added to two watches to get the normal maximum age of the platform's last known response: a
	// reader's last response is at most one watch old, and its report takes time to arrive.
	silenceSlack = 5 * time.Second
	// readSpacing is the mean time between two reads in a fleet that no longer gets any
	// report of the platform's responses: at 20 ms and four lists that is 200 calls a second.
	readSpacing = 20 * time.Millisecond
)

// readSchedule decides when a daemon reads the platform itself, apart from the watches of the readers.
//
// All readers of the fleet may be partitioned from the platform while this daemon
// isn't. If every daemon read as soon as it notices, or at the end of an
// outage, 3,400 of them would use up the platform's rate for seconds. So
// each waits a random time in proportion to the fleet's size.
//
// A daemon that starts doesn't know the fleet's size, and without seeds it has no
// peer to ask. It reads the host list alone, one call instead of four, which gives
// it its peers. Readers then read all lists at once, and the other daemons get
// them from peers long before their own full read is due.
type readSchedule struct {
	// answered means that the platform is known to have answered a daemon, and answeredAt is when it last did.
	answered   bool
	answeredAt time.Time
	backoff    time.Duration
	// nextRead is when the next read is due: of every list while the daemon is serving, else of the host list.
	nextRead time.Time
	// nextFullRead is when a daemon that isn't serving and knows the hosts reads every list; zero means not yet scheduled.
	nextFullRead time.Time
}

func newReadSchedule(rng *rand.Rand, seeded bool, now time.Time) readSchedule {
	wait := time.Duration(rng.Int64N(int64(firstReadSpread)))
	if seeded {
		wait += seedHeadStart
	}
	return readSchedule{backoff: minBackoff, nextRead: now.Add(wait)}
}

// recordAnswer records that the platform answered this or another daemon at the given time.
func (s *readSchedule) recordAnswer(at time.Time) {
	if !s.answered || at.After(s.answeredAt) {
		s.answered, s.answeredAt = true, at
	}
}

// age returns the time since the platform's last known response, or a negative time if none is known.
func (s *readSchedule) age(now time.Time) time.Duration {
	if !s.answered {
		return -1
	}
	return max(now.Sub(s.answeredAt), 0)
}

// due returns what to read now and schedules the next read.
func (s *readSchedule) due(c *Core, now time.Time, skip func(host string) bool) Read {
	if c.standing == Serving {
		return s.dueServing(c, now)
	}
	if c.versions[lists.KindHosts] > 0 {
		return s.dueWithHosts(c, now, skip)
	}
	if now.Before(s.nextRead) {
		return ReadNothing
	}
	s.nextRead = now.Add(c.wideJitter(s.backoff))
	s.backoff = min(2*s.backoff, maxBackoff)
	return ReadHosts
}

// dueServing returns ReadAll when the platform's last known response is older than the readers' watches explain.
func (s *readSchedule) dueServing(c *Core, now time.Time) Read {
	s.backoff, s.nextFullRead = minBackoff, time.Time{}
	silence := 2*c.config.Watch + silenceSlack
	if s.answered && now.Sub(s.answeredAt) < silence {
		s.nextRead = time.Time{}
		return ReadNothing
	}
	if s.nextRead.IsZero() {
		s.nextRead = now.Add(c.fleetDelay())
	}
	if now.Before(s.nextRead) {
		return ReadNothing
	}
	s.nextRead = now.Add(silenceSlack + c.fleetDelay())
	return ReadAll
}

// dueWithHosts returns what a daemon that isn't serving and has a host list reads now. It also reads
// the host list alone from time to time, since its peers may have moved to other addresses.
func (s *readSchedule) dueWithHosts(c *Core, now time.Time, skip func(host string) bool) Read {
	if s.nextFullRead.IsZero() {
		s.nextFullRead, s.nextRead = now, now.Add(c.wideJitter(maxBackoff))
		if len(c.activePeers) > 0 && !c.Reads(skip) {
			s.nextFullRead = now.Add(peersHeadStart + c.fleetDelay())
		}
	}
	if !now.Before(s.nextFullRead) {
		s.nextFullRead = now.Add(c.wideJitter(s.backoff) + c.fleetDelay())
		s.backoff = min(2*s.backoff, maxBackoff)
		return ReadAll
	}
	if now.Before(s.nextRead) {
		return ReadNothing
	}
	s.nextRead = now.Add(c.wideJitter(maxBackoff))
	return ReadHosts
}

// wideJitter returns a random time from half of d to one and a half, whose mean is d.
func (c *Core) wideJitter(d time.Duration) time.Duration { return d/2 + c.randomDuration(d) }

// fleetDelay returns a random time whose mean is readSpacing times the number of daemons.
func (c *Core) fleetDelay() time.Duration {
	return c.randomDuration(2 * readSpacing * time.Duration(len(c.activePeers)+1))
}

func (c *Core) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}
