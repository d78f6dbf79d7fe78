package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// Home owns the rate shards of one host and lends their tokens; it must be used by one goroutine at a time.
//
// SetList and SetPlans set the hosts and organisations. NextAsk, Statement,
// AnswerStatement and Hear exchange statements, by which homes agree on who may
// lend. AnswerLease lends tokens, Tick drops expired state, and Cease gives up
// all shards for good when the host leaves.
type Home = rate.Home

// Borrower spends the tokens that homes lent; it is safe for concurrent use.
//
// Spend takes a token for a request. Tick returns lease requests that prefetch
// tokens, Urgent returns the lease request for a waiting request, Hear applies a
// reply and Lost records that none came.
type Borrower = rate.Borrower

// Token is a spent token. If its request does not run, Borrower.GiveBack makes it spendable again.
type Token = rate.Token

// Spending is the outcome of Borrower.Spend.
type Spending = rate.Spending

// The outcomes: a token was taken; this borrower has none, but homes may have some; none is available before the returned wait has
// passed.
const (
	Spent   = rate.Spent
	Dry     = rate.Dry
	Refused = rate.Refused
)

// Organisation has a rate in requests/s and a burst in requests across all hosts.
type Organisation = lists.Organisation

// Member is a host at one address; the same host at another address is another member.
type Member = rate.Member

// Limits are the times and the number of shards that the safety of the rates depends on; they are the same on all hosts.
type Limits = rate.Limits

// Ask is a lease request to a home, which answers with a LeaseReply.
type Ask = rate.Ask

// LeaseAsk asks a home for tokens and settles earlier loans.
type LeaseAsk = rate.LeaseAsk

// LeaseReply is the reply to a LeaseAsk.
type LeaseReply = rate.LeaseReply

// Statement is what a home reports to another about itself and the host list.
type Statement = rate.Statement

// TickEvery is how often a borrower checks whether to prefetch tokens.
const TickEvery = rate.TickEvery

// DefaultLimits returns limits for networks with latencies of milliseconds and partitions of up to an hour.
func DefaultLimits() Limits { return rate.DefaultLimits() }

// NewHome returns a home that lends nothing until it has a host list, plans and
// the confirmation of a quorum; the incarnation must increase with each start of
// a member.
func NewHome(self Member, incarnation uint64, limits Limits, now time.Time) *Home {
	return rate.NewHome(self, incarnation, limits, now)
}

// NewBorrower returns a borrower without tokens; name and incarnation together are unique to the process.
func NewBorrower(name string, incarnation uint64, limits Limits) *Borrower {
	return rate.NewBorrower(name, incarnation, limits)
}
