package budget

import (
	"math"
	"sync"
)

// Needs learns how many runs each operation causes, its own included, over the chain below it.
type Needs struct {
	mu         sync.Mutex
	operations map[string]float64
}

const (
	// MaxDepth is the depth of chain that an unknown operation is assumed to have.
	MaxDepth = 16
	// Needs rise fast, since a draw too small fails, and fall slowly.
	needUp   = 0.5
	needDown = 1.0 / 16
	// settled is how near a falling need counts as arrived. It falls by a part of
	// what it is too high and never gets there: rounded up alone, each call would
	// draw one run too many for good, and of calls side by side the last would
	// wait for the first although the request's runs are enough for all.
	settled = 0.1
)

// NewNeeds returns needs that know nothing yet.
func NewNeeds() *Needs { return &Needs{operations: map[string]float64{}} }

// Expect returns the runs that the operation is likely to need at the depth.
func (n *Needs) Expect(operation string, depth int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if need, ok := n.operations[operation]; ok {
		return max(int(math.Ceil(need-settled)), 1)
	}
	return max(MaxDepth-depth, 1)
}

// Learn takes in an answer: the runs drawn for it, those used, and whether it succeeded.
func (n *Needs) Learn(operation string, drawn, used int, succeeded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	need, known := n.operations[operation]
	switch {
	case !succeeded && used < drawn:
		return
	case !succeeded:
		// All was used and it failed, so it may have needed more.
		n.operations[operation] = max(need, float64(2*drawn))
	case !known:
		n.operations[operation] = float64(used)
	case float64(used) > need:
		n.operations[operation] = need + (float64(used)-need)*needUp
	default:
		n.operations[operation] = need + (float64(used)-need)*needDown
	}
}
