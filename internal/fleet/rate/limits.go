package rate

import (
	"time"

	"github.com/pkg/errors"
)

// Limits are the times that the safety of the rates rests on; they are the same on all hosts.
type Limits struct {
	// Fence is how long the shards of a home that vanished without a word stay unused.
	Fence time.Duration
	// Loan is how long lent tokens may be spent, counted by the borrower from when it asked.
	Loan time.Duration
	// Shards is the number of pieces that each rate and burst is cut into, 1 to 64: more
	// spread a crash thinner and cost more messages.
	Shards int
}

// Defaults of the limits: the fence outlasts an hour during which regions lose each other.
const (
	// DefaultFence and DefaultLoan suit links of milliseconds and cuts of an hour.
	DefaultFence = 95 * time.Minute
	DefaultLoan  = time.Second
	// DefaultShards is the same for all plans, so that a change of plan moves no shard to another home.
	DefaultShards = 16
	maxShards     = 64
)

// DefaultLimits returns the limits of a daemon that is told none.
func DefaultLimits() Limits {
	return Limits{Fence: DefaultFence, Loan: DefaultLoan, Shards: DefaultShards}
}

// Check returns an error if a loan of a home that stopped could outlast its fence.
func (l Limits) Check() error {
	if l.Loan <= 0 || l.Fence < minFenceLoans*l.Loan {
		return errors.Errorf("rate: the fence (%s) must be at least %d times the loan (%s)", l.Fence, minFenceLoans, l.Loan)
	}
	if l.Shards < 1 || l.Shards > maxShards {
		return errors.Errorf("rate: there must be 1 to %d shards, not %d", maxShards, l.Shards)
	}
	return nil
}

// minFenceLoans leaves half of the gap between tenure and fence for the last loans.
const minFenceLoans = 20

// Tenure is how long a home may act on one round of confirmations. It ends a
// tenth of the fence before successors may begin: room for the last loans and
// for monotonic clocks that drift apart by up to a twentieth.
func (l Limits) Tenure() time.Duration { return l.Fence - l.Fence/10 }

// lent is how long the lender counts a loan as out after its last answer, longer than the borrower counts by the drift allowed for.
func (l Limits) lent() time.Duration { return l.Loan + l.Loan/10 }

// Quorum is the number of members of n whose word counts as the fleet's: more
// than two thirds, so that the quorums of two lists share a member as long as
// the lists differ by less than a third.
func Quorum(n int) int { return 2*n/3 + 1 }
