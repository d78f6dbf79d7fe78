package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// Home is a host's part as a lender; it belongs to one goroutine.
//
// SetList and SetPlans tell it hosts and organisations. NextAsk, Statement,
// AnswerStatement and Hear keep up who may lend; AnswerLease lends; Tick
// forgets; Cease gives up all for good when the host leaves.
type Home = rate.Home

// Borrower spends the tokens that homes lent; it is safe for concurrent use.
//
// Spend takes a token for a request. Tick returns questions to ask homes ahead
// of need, Urgent the one that a waiting request asks, Hear takes an answer and
// Lost notes that none came.
type Borrower = rate.Borrower

// Token is one that was spent. If its request does not run, Borrower.GiveBack makes it spendable again.
type Token = rate.Token

// Spending is the outcome of Borrower.Spend.
type Spending = rate.Spending

// The outcomes: a token was taken; none is here, but homes may have some; none is to be had yet.
const (
	Spent   = rate.Spent
	Dry     = rate.Dry
	Refused = rate.Refused
)

// Organisation has a rate in requests/s and a burst in requests, over all hosts together.
type Organisation = lists.Organisation

// Member is a host at one address.
type Member = rate.Member

// Limits are the times that the safety of the rates rests on; they are the same on all hosts.
type Limits = rate.Limits

// Ask is a question to a home, which LeaseReply answers.
type Ask = rate.Ask

// LeaseAsk asks a home for tokens and settles what was lent before.
type LeaseAsk = rate.LeaseAsk

// LeaseReply answers a LeaseAsk.
type LeaseReply = rate.LeaseReply

// Statement is what homes tell each other of the hosts list.
type Statement = rate.Statement

// TickEvery is how often a borrower looks whether it should ask ahead of need.
const TickEvery = rate.TickEvery

// DefaultLimits returns limits for links of milliseconds and cuts of an hour.
func DefaultLimits() Limits { return rate.DefaultLimits() }

// NewHome returns a home that lends nothing until it has a list, plans and the
// word of a quorum; incarnations of one member must grow.
func NewHome(self Member, incarnation uint64, l Limits, now time.Time) *Home {
	return rate.NewHome(self, incarnation, l, now)
}

// NewBorrower returns a borrower without tokens; name and incarnation are unique to the process.
func NewBorrower(name string, incarnation uint64, l Limits) *Borrower {
	return rate.NewBorrower(name, incarnation, l)
}
