package fresh

import (
	"sync"
	"time"
)

// MaxAge is the maximum age of information from the configuration store. A reader's watch is answered at least every 0.9 s even if nothing
// changed, and a change must be in force within 2 s: the limit leaves the rest for forwarding from one daemon to the next.
const MaxAge = 1300 * time.Millisecond

// Stale is the age that stands for a store that does not answer.
const Stale = time.Hour

// State tracks how current the configuration of one daemon and of its collector is.
//
// Most daemons don't follow the store but receive changes from a collector. The store may refuse the collector's calls and serve others; a
// key that is withdrawn at that moment stays valid at all daemons that go on to rely on the collector. So a collector whose call failed
// reports that at once, the age of its snapshot counts against the time for which it is valid, and a daemon without a current collector
// follows the store itself.
type State struct {
	mu sync.Mutex
	// answeredAt is when the store last answered this daemon; failing means that a later call failed.
	answeredAt time.Time
	failing    bool
	// collectorValidUntil is until when the collector's snapshot counts as current.
	collectorValidUntil time.Time
	// readerAnsweredAt is when the store last answered another reader that has nothing newer than this daemon.
	readerAnsweredAt time.Time
}

// RecordAnswer records that the store has answered this daemon.
func (s *State) RecordAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt, s.failing = now, false
}

// RecordFailure records that a call of this daemon to the store has failed.
func (s *State) RecordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// Age returns the age of this daemon's own information from the store.
func (s *State) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing || s.answeredAt.IsZero() {
		return Stale
	}
	return now.Sub(s.answeredAt)
}

// ObserveCollector records the age of the collector's snapshot, as it replied to a request sent at the given time.
func (s *State) ObserveCollector(sent time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectorValidUntil = sent.Add(MaxAge - age)
}

// ObserveReader records how long ago the store answered another reader, which has nothing newer than this daemon.
//
// The store may refuse the collector and serve the other readers. What they report to the collector is then as current as if it had read it
// itself; without this, all daemons would follow the store themselves for as long as the store refuses the collector.
func (s *State) ObserveReader(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := now.Add(-age); at.After(s.readerAnsweredAt) {
		s.readerAnsweredAt = at
	}
}

// BestAge returns the age of this daemon's information from the store, by its own reading or another reader's.
func (s *State) BestAge(now time.Time) time.Duration {
	own := s.Age(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerAnsweredAt.IsZero() {
		return own
	}
	return min(own, now.Sub(s.readerAnsweredAt))
}

// CollectorAge returns the age of the collector's last snapshot by now.
func (s *State) CollectorAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collectorValidUntil.IsZero() {
		return Stale
	}
	return min(max(now.Sub(s.collectorValidUntil.Add(-MaxAge)), 0), Stale)
}

// Current reports whether the collector's last snapshot can still be relied on.
func (s *State) Current(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.collectorValidUntil)
}
