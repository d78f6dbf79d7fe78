package budget

import "sync"

// Account holds the runs that one request may still cause below one hop.
//
// It is for a deep chain whose hops each retry: per-hop retries multiply, so a
// slow deep service would see its load grow by the power of the depth. Every
// run is drawn from what came in with the request, and what was handed to an
// attempt whose answer got lost stays lost.
type Account struct {
	mu   sync.Mutex
	left int
	out  int
	// reserve is what calls not made yet are likely to need.
	reserve int
	closed  bool
	changed chan struct{}
}

// spareShare of spareParts is how much of its own part of the spare runs one
// draw may take beyond its need, for repeats below it. The rest is left for its
// own repeat, since what it takes is lost with its answer.
const (
	spareShare = 3
	spareParts = 4
)

// New returns an account with the given number of runs.
func New(runs int) *Account { return &Account{left: max(runs, 0)} }

// NewFor returns an account whose calls are likely to need so many runs in all.
//
// An upstream may make several calls side by side. The first, which knows of no
// other, would take the spare runs that the last one lacks.
func NewFor(runs, expected int) *Account {
	return &Account{left: max(runs, 0), reserve: max(expected, 0)}
}

// Left returns the runs not yet drawn.
func (a *Account) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Draw takes runs for one attempt that is likely to need so many, its own run
// included; Settle must follow. A channel in place of runs means that another
// attempt holds what is missing: it closes when something has come back. No
// runs and no channel mean that the account is spent.
//
// A first call that took everything would starve the calls made beside it, and
// equal parts would starve a deep chain, where one call needs all that is left.
// So a draw takes its need, and up to as much again for repeats where there is spare.
// One that finds too little waits for its siblings: the runs that they do not
// use come back, while a call sent with too few fails deep down, after the
// work above it was done.
func (a *Account) Draw(need int) (int, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	need = max(need, 1)
	if a.closed || a.left == 0 && a.out == 0 {
		return 0, nil
	}
	if a.left < need && a.out > 0 {
		if a.changed == nil {
			a.changed = make(chan struct{})
		}
		return 0, a.changed
	}
	runs := min(a.left, need+a.extra(need))
	a.reserve = max(a.reserve-need, 0)
	a.left -= runs
	a.out++
	return runs, nil
}

// extra returns the runs that an attempt takes for repeats below it: its part of
// the spare, as its need is a part of what calls not yet made are likely to need.
//
// With too few, a lost answer deep down fails the attempt, and the work that the
// calls beside it have done is done again for the whole request. A run that
// makes no calls has no repeats below: more than itself would be lost with its answer.
func (a *Account) extra(need int) int {
	if need == 1 {
		return 0
	}
	expected := max(need, a.reserve)
	spare := max(a.left-expected, 0)
	return min(need, spare*need*spareShare/(spareParts*expected))
}

// Settle ends an attempt that drew runs and gives back what its answer says is
// unused. A lost answer gives back none: its runs may still happen.
func (a *Account) Settle(drawn, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.out--
	if !a.closed {
		a.left += min(max(unused, 0), drawn)
	}
	a.wake()
}

// Close ends the account and returns what is left of it.
//
// An upstream may answer while calls of its own are still being repeated. What
// is left then goes back up with the answer, and a repeat that could still draw
// here would spend the same runs twice.
func (a *Account) Close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.left
	a.left = 0
	a.closed = true
	a.wake()
	return left
}

func (a *Account) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
