package repeats

import (
	"sync"
	"time"
)

// Bounds are what all daemons of a fleet together may repeat.
type Bounds struct {
	// Ratio is the repeats that a service may get for each request for it.
	Ratio float64
	// Slack is the repeats that a service may get besides within Window, over all daemons.
	Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

// keptBack is the part of the fleet's bound that daemons use. The rest is for what no daemon sees: calls that
// a repeated run makes once more, and windows that begin between two of a daemon's.
const keptBack = 0.6

// Budget is one daemon's part of the fleet's bounds, for each service.
//
// It is for a service that fails or turns away part of what it gets. Each
// repeat is one more arrival there; where all daemons repeat all failures, a service that
// is a tenth short of capacity gets twice its load. A daemon earns repeats by the requests that it
// sees, so that the sum over all daemons holds without a word between them, and an equal part of the slack.
type Budget struct {
	mu       sync.Mutex
	bounds   Bounds
	daemons  int
	accounts map[string]*account
}

type account struct {
	tokens float64
	at     time.Time
}

// New returns a budget whose accounts begin with their part of the slack.
func New(b Bounds) *Budget {
	return &Budget{bounds: b, daemons: 1, accounts: map[string]*account{}}
}

// Share tells how many daemons there are.
func (b *Budget) Share(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(daemons, 1)
}

// Bound replaces the bounds.
func (b *Budget) Bound(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// Earn counts a request for the service that is sent there for the first time.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service, now)
	a.tokens = min(a.tokens+keptBack*b.bounds.Ratio, b.most())
}

// Spend takes one repeat towards the service, or reports that there is none left.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service, now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Charge counts a request that a repeated run makes: nobody here decided on it, but it is a repeat for the service all the same.
// A lookup that is repeated repeats its calls, and theirs, and without this each service down the chain would
// add repeats of its own on top.
func (b *Budget) Charge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service, now)
	a.tokens = max(a.tokens-1, -mostDebt)
}

// mostDebt bounds how long a burst of repeats from above keeps this daemon from any of its own.
const mostDebt = 50

// slack is this daemon's part of the repeats that need no request.
func (b *Budget) slack() float64 { return keptBack * b.bounds.Slack / float64(b.daemons) }

// most bounds what can be saved up: a window's slack, and at least one repeat.
func (b *Budget) most() float64 { return max(b.slack(), 1) }

func (b *Budget) of(service string, now time.Time) *account {
	a := b.accounts[service]
	if a == nil {
		a = &account{tokens: b.slack(), at: now}
		b.accounts[service] = a
	}
	if b.bounds.Window > 0 {
		passed := now.Sub(a.at).Seconds() / b.bounds.Window.Seconds()
		// Half of the slack comes back in a window: what was saved up and what comes back add up in one.
		a.tokens = min(a.tokens+passed*b.slack()/2, b.most())
	}
	a.at = now
	return a
}
