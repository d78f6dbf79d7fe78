package budget

import (
	"math"
	"sync"
)

// Needs learns how many runs a request of each operation causes in the call chain below it, including its own.
type Needs struct {
	mu          sync.Mutex
	byOperation map[string]float64
}

const (
	// MaxDepth is the depth that the call chain of an unknown operation is assumed to have.
	MaxDepth = 16
	// riseWeight and fallWeight are the weight of one response with a higher and a lower need. Needs rise fast, since a draw that is too
	// small fails, and fall slowly.
	riseWeight = 0.5
	fallWeight = 1.0 / 16
	// roundingTolerance is how far a need may be above a whole number and still be rounded down. A falling need approaches the number of runs
	// used but never reaches it: rounded up, each sub-call would draw one run too many for good, and of concurrent sub-calls the last would
	// wait for the first although the request has enough runs for all.
	roundingTolerance = 0.1
)

// NewNeeds returns a Needs without data.
func NewNeeds() *Needs { return &Needs{byOperation: map[string]float64{}} }

// Expect returns the number of runs that the operation is likely to need at the depth.
func (n *Needs) Expect(operation string, depth int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if need, ok := n.byOperation[operation]; ok {
		return max(int(math.Ceil(need-roundingTolerance)), 1)
	}
	return max(MaxDepth-depth, 1)
}

// Learn records a response: the runs drawn for it, the runs used, and whether it succeeded.
func (n *Needs) Learn(operation string, drawn, used int, succeeded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	need, known := n.byOperation[operation]
	switch {
	case !succeeded && used < drawn:
		return
	case !succeeded:
		// All runs were used and it failed, so it may have needed more.
		n.byOperation[operation] = max(need, float64(2*drawn))
	case !known:
		n.byOperation[operation] = float64(used)
	case float64(used) > need:
		n.byOperation[operation] = need + (float64(used)-need)*riseWeight
	default:
		n.byOperation[operation] = need + (float64(used)-need)*fallWeight
	}
}
