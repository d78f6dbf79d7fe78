package rate

import (
	"slices"
	"time"
)

// review works out what the statements heard so far allow.
func (m *Membership) review(now time.Time) {
	m.reviewVouching(now)
	m.reviewAgreement(now)
	m.reviewTenure(now)
	m.reviewFlips(now)
}

// reviewVouching lets a process that lost its memory speak for membership
// again. Until then it would confirm, from a stale list, what it had
// denied before its restart. It has to have heard from a quorum of others
// that did not forget, or from every other member when all have just started.
func (m *Membership) reviewVouching(now time.Time) {
	if m.vouching || m.version == 0 {
		return
	}
	vouchers, answers, own := 0, 0, m.own()
	for i := range m.seats {
		s := &m.seats[i]
		if i == own || !s.known {
			continue
		}
		answers++
		if s.vouching {
			vouchers++
		}
	}
	others := len(m.roster.members)
	if m.listed[m.self] {
		others--
	}
	if vouchers >= m.quorum(len(m.roster.members)) || answers == others {
		m.vouching = true
		m.touch(now)
	}
}

// reviewAgreement notes that a quorum vouches for this version of the list.
func (m *Membership) reviewAgreement(now time.Time) {
	if m.settled < m.version && m.agreed() {
		m.settled, m.settledRoster, m.settledLapses = m.version, m.roster, m.lapses
		m.touch(now)
	}
}

// weighings is how often in a tenure the confirmations are gone through for its end. Sorting those of thousands of
// members at each answer would take most of a home's time; the right ends by up to this part of a tenure earlier instead.
const weighings = 100

// reviewTenure finds how long the quorum's newest confirmations last.
func (m *Membership) reviewTenure(now time.Time) {
	members := len(m.roster.members)
	need := m.quorum(members) - 1
	if members == 0 {
		return
	}
	if need == 0 {
		m.confirm(forever, now)
		return
	}
	if m.until.Equal(forever) {
		m.until = now.Add(m.limits.Tenure())
	}
	if !m.until.IsZero() && now.Sub(m.weighed) < m.limits.Tenure()/weighings {
		return
	}
	times := m.confirmations()
	if len(times) < need {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	m.confirm(times[need-1].Add(m.limits.Tenure()), now)
	m.weighed = now
}

// confirmations returns when the newest words of those who vouch were asked for.
func (m *Membership) confirmations() []time.Time {
	var times []time.Time
	own := m.own()
	for i := range m.seats {
		if s := &m.seats[i]; s.vouching && i != own {
			times = append(times, s.said)
		}
	}
	return times
}

// confirm extends the right to act.
func (m *Membership) confirm(until, now time.Time) {
	if !until.After(m.until) || !until.After(now) {
		return
	}
	if m.until.IsZero() {
		m.regained = now
	}
	m.until = until
}

// forever is the end of the tenure of a member that needs nobody's word but its own.
var forever = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// reviewFlips notes when a quorum was first known to hold each flip's version, and forgets flips older than any fence.
func (m *Membership) reviewFlips(now time.Time) {
	need := m.quorum(len(m.roster.members))
	for e, f := range m.flips {
		if f.reached.IsZero() && m.holding(f.version) >= need {
			f.reached = now
			m.flips[e] = f
			m.touch(now)
		}
		if m.old(f, now) && now.Sub(f.reached) > 2*m.limits.Fence {
			delete(m.flips, e)
			delete(m.foreign, e)
			m.forget(e)
		}
	}
}

// forget drops what was heard from a member that left the list long ago.
func (m *Membership) forget(e Member) {
	if m.listed[e] {
		return
	}
	delete(m.said, e)
	delete(m.newest, e)
	delete(m.handed, e)
	delete(m.asking.unlisted, e)
	delete(m.asking.missed, e)
}

// holding counts the members known to hold a version or a newer one.
func (m *Membership) holding(version uint64) int {
	count, own := 0, m.own()
	for i := range m.seats {
		if i == own || m.seats[i].holds(version) {
			count++
		}
	}
	return count
}

// old reports whether a quorum has known the flip for the whole fence, so that no home acts on a list before it.
func (m *Membership) old(f flip, now time.Time) bool {
	return !f.reached.IsZero() && now.Sub(f.reached) >= m.limits.Fence
}
