package chain

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
)

// Policy is the choices that one run is made with.
type Policy struct {
	Name string
	// Naive sends straight to the instances: round robin, three tries at each
	// hop, a fixed timeout at each hop, and nothing is cancelled.
	Naive   bool
	Limit   limit.Kind
	Queue   queue.Kind
	Placing placing.Kind
	// Doors refuses at the entry what would fail deeper down.
	Doors bool
	// Budget bounds the runs of one request; 0 allows three tries at each hop.
	Budget int
	// Ceiling is the most that the limit may be, in slots of the instance.
	Ceiling float64
	// Wait is the longest time that a request waits for a slot.
	Wait time.Duration
	// Rates is each organisation's rate, relative to what it sends at load 1; 0 for no rates.
	Rates float64
	// Lent keeps the rates with the fleet's own code, home and borrower at each host, in place of one exact bucket each.
	Lent bool
}

// Ours returns the choices that the daemon makes by default.
func Ours() Policy {
	return Policy{Name: "ours", Doors: true, Budget: defaultRuns, Ceiling: 2, Wait: admission.DefaultWait}
}

// Naive returns what the decisions are compared with.
func Naive() Policy { return Policy{Name: "naive", Naive: true} }

// defaultRuns is the budget of one request, as the daemon has it by default.
const defaultRuns = 32

// triesPerHop is how many hosts one hop tries, with and without a budget.
const triesPerHop = 3
