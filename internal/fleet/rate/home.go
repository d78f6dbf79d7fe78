package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Home is the part of a daemon that owns shards: its membership and its lender. It must be used by one goroutine at a time.
type Home struct {
	membership *Membership
	lender     *Lender
}

// NewHome returns a home that lends nothing until it has a host list, plans and the confirmation of a quorum.
func NewHome(self Member, incarnation uint64, l Limits, now time.Time, opts ...MembershipOption) *Home {
	m := NewMembership(self, incarnation, l, now, opts...)
	return &Home{membership: m, lender: NewLender(m, l)}
}

// SetList applies a newer version of the host list.
func (h *Home) SetList(version uint64, members []Member, now time.Time) {
	h.membership.SetList(version, members, now)
	h.lender.reviewAll(now)
}

// SetPlans replaces the organisations' rates and bursts.
func (h *Home) SetPlans(organisations []lists.Organisation, now time.Time) {
	h.lender.SetPlans(organisations, now)
}

// Statement returns what this process sends to the member that it asks.
func (h *Home) Statement(now time.Time) Statement { return h.membership.Statement(now) }

// NextAsk returns the member to ask for its statement now, or false.
func (h *Home) NextAsk(now time.Time) (Member, bool) { return h.membership.NextAsk(now) }

// AnswerStatement applies another member's statement and returns this process's own.
func (h *Home) AnswerStatement(ask Statement, now time.Time) Statement {
	return h.membership.Answer(ask, now)
}

// Hear applies the statement of a member that was asked at the given time.
func (h *Home) Hear(statement Statement, asked, now time.Time) {
	h.membership.ApplyReply(statement, asked, now)
}

// AnswerLease lends what is available.
func (h *Home) AnswerLease(ask LeaseAsk, now time.Time) LeaseReply { return h.lender.Answer(ask, now) }

// Tick drops state that is no longer needed.
func (h *Home) Tick(now time.Time) { h.lender.Tick(now) }

// Balance returns the organisation's tokens that may be lent, as of the last lease request.
func (h *Home) Balance(organisation string) float64 { return h.lender.Balance(organisation) }

// Cease gives up all shards for good and returns the members that must receive a statement of it.
func (h *Home) Cease(now time.Time) []Member {
	h.membership.Cease(now)
	h.lender.reviewAll(now)
	return h.membership.Others()
}

// HomeStatus describes the present state of a home.
type HomeStatus struct {
	Holdings
	Version  uint64
	Members  int
	Vouching bool
	MayLend  bool
	// Listed says whether the host list has this process as a member; one that is not listed only borrows.
	Listed bool
	// Settled says whether a quorum is known to have this version of the host list, so that new shards may be taken.
	Settled bool
	// LendsUntil is when the right to lend ends unless it is confirmed again; zero means no end, or no right to lend.
	LendsUntil time.Time
	// FencedUntil is when the fence ends for the last of the removed members that have not released their shards; zero means that there is none.
	FencedUntil time.Time
}

// Status returns the present state of the home.
func (h *Home) Status(now time.Time) HomeStatus {
	m := h.membership
	status := HomeStatus{
		Holdings: h.lender.Holdings(), Version: m.version, Members: len(m.roster.members),
		Vouching: m.confirming, MayLend: m.MayLend(now), Listed: m.listed[m.self], Settled: m.version > 0 && m.agreedVersion == m.version,
	}
	if status.MayLend && !m.tenureEnd.Equal(forever) {
		status.LendsUntil = m.tenureEnd
	}
	for member, change := range m.changes {
		if _, free := m.released(member, change, now); change.added || free {
			continue
		}
		since := change.quorumSince
		if since.IsZero() {
			since = now
		}
		status.FencedUntil = later(status.FencedUntil, since.Add(m.limits.Fence))
	}
	return status
}
