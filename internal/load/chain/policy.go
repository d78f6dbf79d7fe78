package chain

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
)

// Policy selects the decisions of a run.
type Policy struct {
	Name string
	// Naive sends straight to the instances: round robin, three attempts at each hop, a fixed timeout at each hop, and no
	// cancellation.
	Naive   bool
	Limit   limit.Kind
	Queue   queue.Kind
	Placing placing.Kind
	// Throttles enables throttles, which reject at the ingress daemon what would fail at a later hop.
	Throttles bool
	// Budget is the maximum number of runs of one request; 0 allows three attempts at each hop.
	Budget int
	// Ceiling is the maximum concurrency limit, as a multiple of the instance's slots.
	Ceiling float64
	// Wait is the longest time that a request waits for a slot.
	Wait time.Duration
	// RateFactor is each organisation's rate limit relative to its rate at load 1; 0 for no limits.
	RateFactor float64
	// LendRates enforces the rates with the fleet's own code, a home and a borrower at each host, instead of one exact bucket each.
	LendRates bool
}

// Ours returns the default policy of the daemon.
func Ours() Policy {
	return Policy{Name: "ours", Throttles: true, Budget: defaultRunBudget, Ceiling: 2, Wait: admission.DefaultWait}
}

// Naive returns the policy that the daemon's is compared with.
func Naive() Policy { return Policy{Name: "naive", Naive: true} }

// defaultRunBudget is the daemon's default budget of one request.
const defaultRunBudget = 32

// attemptsPerHop is the number of hosts that one hop tries, with and without a budget.
const attemptsPerHop = 3
