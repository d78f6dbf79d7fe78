package fresh

import (
	"sync"
	"time"
)

// Limit is how old a word from the store may be. A reader's watch tells it at least each 0.9 s that nothing changed, and a change must be
// in force within 2 s: that leaves the rest for the word from one daemon to the next.
const Limit = 1300 * time.Millisecond

// Stale is the age of a store that does not answer.
const Stale = time.Hour

// State is what one daemon knows of its own and its collector's hold on the store.
//
// Most daemons don't follow the store, and hear of changes from a collector. The store may turn the collector away and serve the
// others; a key that is withdrawn in that moment works on where they go on to believe it. So a collector
// whose call failed says so at once, the age of its word counts against the time for which it is good, and
// a daemon that hears of no current word follows the store itself.
type State struct {
	mu      sync.Mutex
	heard   time.Time
	failing bool
	current time.Time
	// vouched is when the store answered another reader that knows nothing which this daemon doesn't.
	vouched time.Time
}

// Answered notes that the store has answered this daemon.
func (s *State) Answered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard, s.failing = now, false
}

// Failed notes that a call of this daemon to the store failed.
func (s *State) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// Age is how old this daemon's own word from the store is.
func (s *State) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing || s.heard.IsZero() {
		return Stale
	}
	return now.Sub(s.heard)
}

// ObserveCollector takes in how old a collector's word was when it answered a question sent at the time.
func (s *State) ObserveCollector(sent time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = sent.Add(Limit - age)
}

// ObserveReader takes in how long ago the store answered another reader, of which this daemon knows all that it knows.
//
// The store may turn the collector away and serve the other readers. What these tell the collector is then as current as if it
// had read it; without that, all daemons would follow the store themselves for as long as it lasts.
func (s *State) ObserveReader(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := now.Add(-age); at.After(s.vouched) {
		s.vouched = at
	}
}

// BestAge is how old what this daemon knows of the store is: by its own reading, or by another reader's.
func (s *State) BestAge(now time.Time) time.Duration {
	own := s.Age(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vouched.IsZero() {
		return own
	}
	return min(own, now.Sub(s.vouched))
}

// CollectorAge is how old the collector's last word from the store is by now.
func (s *State) CollectorAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.IsZero() {
		return Stale
	}
	return min(max(now.Sub(s.current.Add(-Limit)), 0), Stale)
}

// Current reports whether the collector's last word can still be relied on.
func (s *State) Current(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.current)
}
