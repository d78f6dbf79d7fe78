package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Home is a daemon's part as a home of shards: its membership and what it lends. It belongs to one thread.
type Home struct {
	membership *Membership
	lender     *Lender
}

// NewHome returns a home that lends nothing until it has a list, plans and the word of a quorum.
func NewHome(self Member, incarnation uint64, l Limits, now time.Time, opts ...MembershipOption) *Home {
	m := NewMembership(self, incarnation, l, now, opts...)
	return &Home{membership: m, lender: NewLender(m, l)}
}

// SetList takes over a newer version of the hosts list.
func (h *Home) SetList(version uint64, members []Member, now time.Time) {
	h.membership.SetList(version, members, now)
	h.lender.reviewAll(now)
}

// SetPlans takes over the organisations' rates and bursts.
func (h *Home) SetPlans(organisations []lists.Organisation, now time.Time) {
	h.lender.SetPlans(organisations, now)
}

// Statement returns what this process asks others with.
func (h *Home) Statement(now time.Time) Statement { return h.membership.Statement(now) }

// NextAsk returns the member to ask now what it knows of membership, or false.
func (h *Home) NextAsk(now time.Time) (Member, bool) { return h.membership.NextAsk(now) }

// AnswerStatement answers another member's question.
func (h *Home) AnswerStatement(ask Statement, now time.Time) Statement {
	return h.membership.Answer(ask, now)
}

// Hear takes the answer to a question that was asked at the given time.
func (h *Home) Hear(s Statement, asked, now time.Time) { h.membership.Hear(s, asked, now) }

// AnswerLease lends what there is.
func (h *Home) AnswerLease(ask LeaseAsk, now time.Time) LeaseReply { return h.lender.Answer(ask, now) }

// Tick forgets what is not needed any more.
func (h *Home) Tick(now time.Time) { h.lender.Tick(now) }

// Balance returns the organisation's tokens that may be lent, as of the last question.
func (h *Home) Balance(organisation string) float64 { return h.lender.Balance(organisation) }

// Cease gives up all shards for good and returns the members that have to be told.
func (h *Home) Cease(now time.Time) []Member {
	h.membership.Cease(now)
	h.lender.reviewAll(now)
	return h.membership.Others()
}

// HomeStatus tells how a home stands.
type HomeStatus struct {
	Holdings
	Version  uint64
	Members  int
	Vouching bool
	MayLend  bool
	// Listed tells whether the list has this process as a member; one that it has not borrows only.
	Listed bool
	// Settled tells whether a quorum is known to have this version of the list, so that new shards may be taken.
	Settled bool
	// LendsUntil ends the right to lend if nobody confirms it again; zero means never or no right.
	LendsUntil time.Time
	// FencedUntil is when the last vanished member's shards come free; zero means that none is waited for.
	FencedUntil time.Time
}

// Status returns how the home stands now.
func (h *Home) Status(now time.Time) HomeStatus {
	m := h.membership
	s := HomeStatus{
		Holdings: h.lender.Holdings(), Version: m.version, Members: len(m.roster.members),
		Vouching: m.vouching, MayLend: m.MayLend(now), Listed: m.listed[m.self], Settled: m.version > 0 && m.settled == m.version,
	}
	if s.MayLend && !m.until.Equal(forever) {
		s.LendsUntil = m.until
	}
	for e, f := range m.flips {
		if _, free := m.released(e, f, now); f.in || free {
			continue
		}
		begun := f.reached
		if begun.IsZero() {
			begun = now
		}
		s.FencedUntil = latest(s.FencedUntil, begun.Add(m.limits.Fence))
	}
	return s
}
