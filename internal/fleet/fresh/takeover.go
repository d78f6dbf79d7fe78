package fresh

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// doublingTime is the time in which the number of daemons that read the configuration store themselves doubles. What the first ones read
	// reaches the others within a few of these times.
	doublingTime = 200 * time.Millisecond
	// firstReaders is how many daemons of a fleet are expected to read the store within the first doublingTime.
	firstReaders = 32
	// unknownFleet stands for the size of a fleet whose hosts aren't known yet. It is so large that of some thousand starting daemons only one or
	// two read the store first, which is enough to announce a copy to all.
	unknownFleet = 4096 * firstReaders
)

// Takeover decides when a daemon without current information reads the configuration store itself.
//
// When a fleet loses its readers of the store, or restarts as a whole, each daemon could read the store at once. The calls would grow with the
// fleet; a store that can't serve them all in time serves none, and the daemons read again. So each waits for a random time: few read the store
// first, and their number doubles until what they have read reaches the others.
type Takeover struct {
	rand func() float64

	mu sync.Mutex
	// dueAt is when this daemon reads the store; zero while its information is current.
	dueAt time.Time
}

// NewTakeover returns a takeover that draws its waits from the random source, which returns numbers in [0, 1).
func NewTakeover(random func() float64) *Takeover { return &Takeover{rand: random} }

// NewRandomTakeover returns a takeover with the runtime's random source.
func NewRandomTakeover() *Takeover { return NewTakeover(rand.Float64) }

// Due reports whether this daemon must read the store itself. The first call after Reset draws the wait, for a fleet of so many daemons; 0
// means that their number isn't known.
func (t *Takeover) Due(daemons int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dueAt.IsZero() {
		t.dueAt = now.Add(t.wait(daemons))
	}
	return !now.Before(t.dueAt)
}

// Remaining returns the rest of the wait, for a fleet of so many daemons.
func (t *Takeover) Remaining(daemons int, now time.Time) time.Duration {
	if t.Due(daemons, now) {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dueAt.Sub(now)
}

// Begin ends the wait: this daemon reads the store from now on.
func (t *Takeover) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dueAt = now
}

// Reset ends the takeover, since other daemons have current information.
func (t *Takeover) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dueAt = time.Time{}
}

// wait draws a wait. The expected number of daemons that have read the store after a time t is firstReaders * (2^(t/doublingTime) - 1), at any
// size of the fleet.
func (t *Takeover) wait(daemons int) time.Duration {
	if daemons == 0 {
		daemons = unknownFleet
	}
	expected := float64(firstReaders) / float64(daemons)
	doublings := math.Log2(1 - math.Log1p(-t.rand())/expected)
	return time.Duration(doublings * float64(doublingTime))
}
