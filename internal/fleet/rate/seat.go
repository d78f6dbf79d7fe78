package rate

import "time"

// memberState is the state of one listed member that decisions depend on.
//
// Each reply, and each search for the member to ask next, goes through all members. With
// thousands of members, lookups by name in maps took most of that time, so the states are
// kept in a slice (BenchmarkAnswer).
type memberState struct {
	// known means that the member has sent a statement.
	known      bool
	confirming bool
	version    uint64
	// pendingVersion is the member's version if it is newer than the own list, else 0.
	pendingVersion uint64
	// answeredAskAt is when the newest statement was asked for, askedAt when the member was last asked at all.
	answeredAskAt time.Time
	askedAt       time.Time
}

// unanswered reports whether the last request has had no reply so far.
func (s *memberState) unanswered() bool { return s.answeredAskAt.Before(s.askedAt) }

func (s *memberState) apply(summary statementSummary) {
	s.known, s.confirming, s.version, s.answeredAskAt = true, summary.confirming, summary.version, summary.askedAt
}

// holds reports whether the member is known to have this version or a newer one.
func (s *memberState) holds(version uint64) bool {
	return s.version >= version || s.pendingVersion >= version
}

// rebuildStates sets up the states of the members of a new list.
func (m *Membership) rebuildStates() {
	previous, previousIndexes := m.states, m.indexes
	for member, index := range previousIndexes {
		if askedAt := previous[index].askedAt; !askedAt.IsZero() {
			m.schedule.unlistedAskedAt[member] = askedAt
		}
	}
	m.states, m.indexes = make([]memberState, len(m.roster.members)), make(map[Member]int32, len(m.roster.members))
	for i, member := range m.roster.members {
		m.indexes[member] = int32(i)
		m.initState(member, &m.states[i])
	}
}

func (m *Membership) initState(member Member, s *memberState) {
	if summary, ok := m.statements[member]; ok {
		s.apply(summary)
	}
	s.pendingVersion = m.pending[member].Version
	s.askedAt = m.schedule.unlistedAskedAt[member]
	delete(m.schedule.unlistedAskedAt, member)
}

// ownIndex returns the position of this process in the list, -1 if it is not listed.
func (m *Membership) ownIndex() int {
	if index, ok := m.indexes[m.self]; ok {
		return int(index)
	}
	return -1
}
