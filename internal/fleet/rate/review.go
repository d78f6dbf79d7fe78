package rate

import (
	"slices"
	"time"
)

// review determines what the statements received so far allow.
func (m *Membership) review(now time.Time) {
	m.reviewConfirming(now)
	m.reviewAgreement(now)
	m.reviewTenure(now)
	m.reviewChanges(now)
}

// reviewConfirming lets a restarted process confirm lists again. Until then it
// would confirm, from a stale list, what it had denied before its restart. It
// must have received statements from a quorum of others that are confirming, or
// from every other member when all have just started.
func (m *Membership) reviewConfirming(now time.Time) {
	if m.confirming || m.version == 0 {
		return
	}
	confirmingCount, knownCount, ownIndex := 0, 0, m.ownIndex()
	for i := range m.states {
		s := &m.states[i]
		if i == ownIndex || !s.known {
			continue
		}
		knownCount++
		if s.confirming {
			confirmingCount++
		}
	}
	others := len(m.roster.members)
	if m.listed[m.self] {
		others--
	}
	if confirmingCount >= m.quorum(len(m.roster.members)) || knownCount == others {
		m.confirming = true
		m.markChanged(now)
	}
}

// reviewAgreement records that a quorum confirms this version of the list.
func (m *Membership) reviewAgreement(now time.Time) {
	if m.agreedVersion < m.version && m.quorumConfirms() {
		m.agreedVersion, m.agreedRoster, m.agreedLapses = m.version, m.roster, m.lapses
		m.markChanged(now)
	}
}

// reviewsPerTenure is how often in a tenure the confirmations are sorted to find its end. Sorting those of thousands of
// members at each reply would take most of a home's time. Instead the right to lend ends earlier, by up to this fraction of a tenure.
const reviewsPerTenure = 100

// reviewTenure determines how long the quorum's newest confirmations last.
func (m *Membership) reviewTenure(now time.Time) {
	members := len(m.roster.members)
	need := m.quorum(members) - 1
	if members == 0 {
		return
	}
	if need == 0 {
		m.extendTenure(forever, now)
		return
	}
	if m.tenureEnd.Equal(forever) {
		m.tenureEnd = now.Add(m.limits.Tenure())
	}
	if !m.tenureEnd.IsZero() && now.Sub(m.tenureReviewedAt) < m.limits.Tenure()/reviewsPerTenure {
		return
	}
	times := m.confirmationTimes()
	if len(times) < need {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	m.extendTenure(times[need-1].Add(m.limits.Tenure()), now)
	m.tenureReviewedAt = now
}

// confirmationTimes returns when the newest statements of the confirming members were asked for.
func (m *Membership) confirmationTimes() []time.Time {
	var times []time.Time
	ownIndex := m.ownIndex()
	for i := range m.states {
		if s := &m.states[i]; s.confirming && i != ownIndex {
			times = append(times, s.answeredAskAt)
		}
	}
	return times
}

// extendTenure extends the right to act.
func (m *Membership) extendTenure(end, now time.Time) {
	if !end.After(m.tenureEnd) || !end.After(now) {
		return
	}
	if m.tenureEnd.IsZero() {
		m.tenureStart = now
	}
	m.tenureEnd = end
}

// forever is the end of the tenure of a member that is a quorum by itself.
var forever = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// reviewChanges records when a quorum was first known to have each change's version, and drops changes older than any fence.
func (m *Membership) reviewChanges(now time.Time) {
	need := m.quorum(len(m.roster.members))
	for member, change := range m.changes {
		if change.quorumSince.IsZero() && m.countHolding(change.version) >= need {
			change.quorumSince = now
			m.changes[member] = change
			m.markChanged(now)
		}
		if m.fenceElapsed(change, now) && now.Sub(change.quorumSince) > 2*m.limits.Fence {
			delete(m.changes, member)
			delete(m.learned, member)
			m.forget(member)
		}
	}
}

// forget drops the state of a member that left the list long ago.
func (m *Membership) forget(member Member) {
	if m.listed[member] {
		return
	}
	delete(m.statements, member)
	delete(m.newestIncarnation, member)
	delete(m.cessations, member)
	delete(m.schedule.unlistedAskedAt, member)
	delete(m.schedule.silent, member)
}

// countHolding counts the members known to have a version or a newer one.
func (m *Membership) countHolding(version uint64) int {
	count, ownIndex := 0, m.ownIndex()
	for i := range m.states {
		if i == ownIndex || m.states[i].holds(version) {
			count++
		}
	}
	return count
}

// fenceElapsed reports whether a quorum has known the change for the whole fence, so that no home acts on a list from before it.
func (m *Membership) fenceElapsed(change listChange, now time.Time) bool {
	return !change.quorumSince.IsZero() && now.Sub(change.quorumSince) >= m.limits.Fence
}
