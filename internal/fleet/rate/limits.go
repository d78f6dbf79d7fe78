package rate

import (
	"time"

	"github.com/pkg/errors"
)

// Limits are the times that the safety of the rates depends on; they are the same on all hosts.
type Limits struct {
	// Fence is how long the shards of an unreachable home stay unused before another home lends from them.
	Fence time.Duration
	// Loan is how long lent tokens may be spent, counted by the borrower from when it sent the lease request.
	Loan time.Duration
	// Shards is the number of shards that each rate and burst is divided into, 1 to 64. With more shards a
	// crashed home affects a smaller fraction of a rate, and more messages are needed.
	Shards int
}

// Default limits. The fence outlasts a one-hour partition between regions.
const (
	// DefaultFence and DefaultLoan suit links with latencies of milliseconds and partitions of an hour.
	DefaultFence = 95 * time.Minute
	DefaultLoan  = time.Second
	// DefaultShards is the same for all plans, so that an organisation's change of plan moves no shard to another home.
	DefaultShards = 16
	maxShards     = 64
)

// DefaultLimits returns the limits of a daemon without settings for them.
func DefaultLimits() Limits {
	return Limits{Fence: DefaultFence, Loan: DefaultLoan, Shards: DefaultShards}
}

// Check returns an error if a loan of a home that stopped could outlast its fence, or the number of shards is out of range.
func (l Limits) Check() error {
	if l.Loan <= 0 || l.Fence < minFenceLoans*l.Loan {
		return errors.Errorf("rate: the fence (%s) must be at least %d times the loan (%s)", l.Fence, minFenceLoans, l.Loan)
	}
	if l.Shards < 1 || l.Shards > maxShards {
		return errors.Errorf("rate: there must be 1 to %d shards, not %d", maxShards, l.Shards)
	}
	return nil
}

// minFenceLoans is the shortest fence, in loans. At 20, half of the time between the end of the tenure and that of the fence is left for the last loans.
const minFenceLoans = 20

// Tenure is how long a home may lend after a quorum has confirmed its list. It ends
// a tenth of the fence before successors may start, which leaves time for the last
// loans and for monotonic clocks that drift apart by up to a twentieth.
func (l Limits) Tenure() time.Duration { return l.Fence - l.Fence/10 }

// lenderLoan is how long the lender counts a loan as outstanding after its last reply. It is longer than the borrower's time by the clock drift allowed for.
func (l Limits) lenderLoan() time.Duration { return l.Loan + l.Loan/10 }

// Quorum is the number of members, out of n, whose agreement counts as the
// fleet's: more than two thirds, so that the quorums of two lists share a member
// as long as the lists differ by less than a third.
func Quorum(n int) int { return 2*n/3 + 1 }
