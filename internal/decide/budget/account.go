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
}

// New returns an account with the given number of runs.
func New(runs int) *Account { return &Account{left: max(runs, 0)} }

// Left returns the runs not yet drawn.
func (a *Account) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Draw takes runs for one attempt, the attempt's own included, keeping reserve
// back for a repeat if it can; 0 means that nothing is left.
func (a *Account) Draw(reserve int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	grant := max(a.left-reserve, min(a.left, 1))
	a.left -= grant
	return grant
}

// Return gives back what an answered attempt did not use.
func (a *Account) Return(runs int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += max(runs, 0)
}
