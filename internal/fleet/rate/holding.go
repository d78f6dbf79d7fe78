package rate

import (
	"slices"
	"time"
)

// mayTake reports whether this process may start to hold a shard that its list
// gives it, and from when on. False means that another may still hold it, or
// that too few members are known to have this list.
func (m *Membership) mayTake(key uint64, now time.Time) (time.Time, bool) {
	ownRank := rank(key, m.self.hash())
	if m.agreedVersion != m.version && !m.keptSinceAgreement(key, ownRank) {
		return time.Time{}, false
	}
	from := m.startedAt
	for member, change := range m.changes {
		if change.added || rank(key, member.hash()) < ownRank {
			continue
		}
		at, ok := m.released(member, change, now)
		if !ok {
			return time.Time{}, false
		}
		from = later(from, at)
	}
	ownChange, changed := m.changes[m.self]
	if changed {
		at, ok := m.lowerRankedReleased(key, ownRank, ownChange, now)
		if !ok {
			return time.Time{}, false
		}
		from = later(from, at)
	}
	return from.Add(m.limits.lenderLoan()), true
}

// keptSinceAgreement reports whether the shard was this process's in the last list
// that a quorum agreed on, and in every list since. Without this, an organisation
// without a bucket would be refused after each change of the list until a quorum
// is known to have it, and in a large fleet the list changes every few minutes.
func (m *Membership) keptSinceAgreement(key, ownRank uint64) bool {
	home, ok := m.agreedRoster.home(key)
	if !ok || home != m.self || m.agreedLapses != m.lapses {
		return false
	}
	for member, change := range m.changes {
		if change.version > m.agreedVersion && (member == m.self || rank(key, member.hash()) > ownRank) {
			return false
		}
	}
	return true
}

// quorumConfirms reports whether a quorum, this process included, confirms exactly this version of the list.
//
// Their statements include every change that any home still acts on: that home started
// with a quorum of its own, and the two share a member.
func (m *Membership) quorumConfirms() bool {
	if !m.confirming {
		return false
	}
	count, ownIndex := 1, m.ownIndex()
	for i := range m.states {
		if s := &m.states[i]; i != ownIndex && s.confirming && s.version == m.version {
			count++
		}
	}
	return count >= m.quorum(len(m.roster.members))
}

// released returns from when on a member has released what the change took away
// from it, or false: by the fence, by its statement that it has the list with the change,
// or by its cessation. A statement for a newer list than the own proves nothing, since
// that list may have given the shard back.
func (m *Membership) released(member Member, change listChange, now time.Time) (time.Time, bool) {
	if m.fenceElapsed(change, now) {
		return change.quorumSince.Add(m.limits.Fence), true
	}
	if s, ok := m.statements[member]; ok && s.version >= change.version {
		return s.receivedAt, true
	}
	return m.ceasedAt(member)
}

// lowerRankedReleased returns the same of the members that were home before this one
// was added to the list, as the latest of their times: those that rank below it, down to the first that has been
// a member for the whole fence, since no list in use lacks that one.
func (m *Membership) lowerRankedReleased(key, ownRank uint64, ownChange listChange, now time.Time) (time.Time, bool) {
	if m.fenceElapsed(ownChange, now) {
		return ownChange.quorumSince.Add(m.limits.Fence), true
	}
	var from time.Time
	for _, member := range m.lowerRanked(key, ownRank) {
		change, changed := m.changes[member]
		at, ok := m.released(member, ownChange, now)
		if !ok && changed && !change.added {
			at, ok = m.released(member, change, now)
		}
		if !ok {
			return time.Time{}, false
		}
		from = later(from, at)
		if m.listed[member] && (!changed || m.fenceElapsed(change, now)) {
			break
		}
	}
	return from, true
}

// lowerRanked returns the members, listed or lately removed, that rank below the given rank for the shard, highest first.
func (m *Membership) lowerRanked(key, ownRank uint64) []Member {
	type ranked struct {
		member Member
		rank   uint64
	}
	var members []ranked
	appendLower := func(member Member, hash uint64) {
		if memberRank := rank(key, hash); member != m.self && memberRank < ownRank {
			members = append(members, ranked{member, memberRank})
		}
	}
	for i, member := range m.roster.members {
		appendLower(member, m.roster.hashes[i])
	}
	for member, change := range m.changes {
		if !change.added {
			appendLower(member, member.hash())
		}
	}
	slices.SortFunc(members, func(a, b ranked) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	out := make([]Member, len(members))
	for i, r := range members {
		out[i] = r.member
	}
	return out
}

// contested reports whether a change of a member that outranks this process for
// the shard was learned from others since the generation: that member may have
// held the shard in versions of the list that this process skipped.
func (m *Membership) contested(key uint64, since uint64) bool {
	ownRank := rank(key, m.self.hash())
	for member, generation := range m.learned {
		if generation > since && member != m.self && rank(key, member.hash()) > ownRank {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
