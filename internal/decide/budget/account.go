package budget

import "sync"

// Account holds the runs that one request may still cause below one hop.
//
// Designed for a deep call chain whose hops each retry: retries per hop multiply, so the load on a slow service deep in the chain would
// grow exponentially with its depth. Every run is drawn from the budget that came in with the request, and the runs given to an attempt
// whose response was lost are not returned.
type Account struct {
	mu   sync.Mutex
	left int
	// outstanding is the number of attempts that have drawn runs and not been settled.
	outstanding int
	// expectedNeed is the number of runs that sub-calls not made yet are likely to need.
	expectedNeed int
	closed       bool
	// changed is closed when runs may have been returned; nil while no attempt waits.
	changed chan struct{}
}

// Beyond its need, one draw may take spareNumerator/spareDenominator of its proportional share of the spare runs, for retries below it.
// The rest is left for a retry of the attempt itself, since the runs that it takes are lost with its response.
const (
	spareNumerator   = 3
	spareDenominator = 4
)

// New returns an account with the given number of runs.
func New(runs int) *Account { return &Account{left: max(runs, 0)} }

// NewFor returns an account whose sub-calls are likely to need the expected number of runs in total.
//
// An upstream may make several sub-calls concurrently. Without the total, the first would take the spare runs that the last one lacks.
func NewFor(runs, expected int) *Account {
	return &Account{left: max(runs, 0), expectedNeed: max(expected, 0)}
}

// Left returns the number of runs not yet drawn.
func (a *Account) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Draw takes runs for one attempt; need is the number that it is likely to use, including its own run. Settle must follow. A channel
// instead of runs means that other attempts hold the missing runs: it is closed when some may have been returned. Neither runs nor a
// channel means that the account is spent or closed.
//
// A first sub-call that took everything would starve concurrent ones, and equal shares would starve a deep chain, where one sub-call needs
// all that is left. So a draw takes its need, and up to as much again for retries if there are spare runs. One that finds too little
// waits for the concurrent attempts to return the runs that they don't use: a sub-call sent with too few fails deep in the chain, after
// the work above it was done.
func (a *Account) Draw(need int) (int, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	need = max(need, 1)
	if a.closed || a.left == 0 && a.outstanding == 0 {
		return 0, nil
	}
	if a.left < need && a.outstanding > 0 {
		if a.changed == nil {
			a.changed = make(chan struct{})
		}
		return 0, a.changed
	}
	runs := min(a.left, need+a.spareFor(need))
	a.expectedNeed = max(a.expectedNeed-need, 0)
	a.left -= runs
	a.outstanding++
	return runs, nil
}

// spareFor returns the runs that an attempt takes for retries below it: its proportional share of the spare runs, by its need relative to
// the expected need.
//
// With too few, a lost response deep in the chain fails the attempt, and the work of concurrent sub-calls is repeated when the whole
// request is retried. A run without sub-calls has no retries below it: any runs beyond its own would only be lost with its response.
func (a *Account) spareFor(need int) int {
	if need == 1 {
		return 0
	}
	expected := max(need, a.expectedNeed)
	spare := max(a.left-expected, 0)
	return min(need, spare*need*spareNumerator/(spareDenominator*expected))
}

// Settle ends an attempt that drew runs and returns those that its response reports as unused. A lost response returns none, since its
// runs may still happen.
func (a *Account) Settle(drawn, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outstanding--
	if !a.closed {
		a.left += min(max(unused, 0), drawn)
	}
	a.notifyWaiters()
}

// Close closes the account and returns the runs that are left.
//
// An upstream may respond while its own sub-calls are still being retried. The runs that are left are then returned with the response, and a
// retry that could still draw from the account would spend the same runs twice.
func (a *Account) Close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.left
	a.left = 0
	a.closed = true
	a.notifyWaiters()
	return left
}

func (a *Account) notifyWaiters() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
