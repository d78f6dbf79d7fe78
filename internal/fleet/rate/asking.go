package rate

import "time"

// askSchedule decides which member is asked for its statement next.
type askSchedule struct {
	// unlistedAskedAt has when members that are not listed were last asked; memberState has it of the others.
	unlistedAskedAt map[Member]time.Time
	// silent are the members that were asked again because they had not answered.
	silent    map[Member]bool
	lastAskAt time.Time
	// idleUntil is when to search again after no member was due, unless the generation has changed since.
	idleUntil  time.Time
	generation uint64
}

// Intervals between requests for statements. A steady round takes a quarter of a tenure, so
// that three in a row may be lost. After a change of the list the members that are not known
// to have it are asked at the fast interval for some rounds, so that a shard is unused only
// for seconds, then at the slow one, so that an unreachable rack costs little.
const (
	fastAskInterval = 20 * time.Millisecond
	slowAskInterval = 250 * time.Millisecond
	fastRounds      = 4
	roundsPerTenure = 4
)

// A member that did not reply is asked again after silentAskInterval, or after recoveryAskInterval
// shortly after a change, such as a reply from another silent member.
//
// Designed for the end of a partition between regions. In the steady round alone, a home that lost its
// right to lend meanwhile would wait for a quarter of a tenure after the partition, and organisations would be
// refused as above their rate while all hosts are well. 3,400 daemons together ask a host that is down 340 times
// a second, and one daemon asks no more often than slowAskInterval, however many are down.
const (
	silentAskInterval   = 10 * time.Second
	recoveryAskInterval = 2 * time.Second
)

// NextAsk returns the member to ask now, or false while none is due.
func (m *Membership) NextAsk(now time.Time) (Member, bool) {
	if now.Sub(m.schedule.lastAskAt) < fastAskInterval || m.idle(now) {
		return Member{}, false
	}
	member, ok := m.nextUnconfirmed(now)
	if !ok {
		member, ok = m.nextInRound(now)
	}
	if ok {
		m.recordAsk(member, now)
		return member, true
	}
	m.schedule.idleUntil, m.schedule.generation = now.Add(slowAskInterval), m.generation
	return Member{}, false
}

// recordAsk records that the member is asked now.
func (m *Membership) recordAsk(member Member, now time.Time) {
	m.schedule.lastAskAt = now
	if index, ok := m.indexes[member]; ok {
		s := &m.states[index]
		if s.unanswered() {
			m.schedule.silent[member] = true
		}
		s.askedAt = now
		return
	}
	m.schedule.unlistedAskedAt[member] = now
}

// idle avoids the search through thousands of members at each tick, which would take a good
// part of the time that a process may spend on control while nothing happens.
func (m *Membership) idle(now time.Time) bool {
	return m.schedule.generation == m.generation && now.Before(m.schedule.idleUntil)
}

// recordAnswer records that a member answered. If it was silent before, the other silent members are asked sooner.
func (m *Membership) recordAnswer(member Member, now time.Time) {
	if m.schedule.silent[member] {
		delete(m.schedule.silent, member)
		m.markChanged(now)
	}
}

// nextUnconfirmed returns the least recently asked of the members that are silent or not known to confirm this list.
func (m *Membership) nextUnconfirmed(now time.Time) (Member, bool) {
	interval, silentInterval := slowAskInterval, silentAskInterval
	if now.Sub(m.changedAt) < fastRounds*fastAskInterval*time.Duration(len(m.roster.members)+1) {
		interval, silentInterval = fastAskInterval, recoveryAskInterval
	}
	if now.Sub(m.schedule.lastAskAt) < interval {
		return Member{}, false
	}
	best, lastAskedAt, found := m.leastRecentlyAsked(func(s *memberState) bool {
		return s.version != m.version || !s.confirming || s.unanswered() && now.Sub(s.askedAt) >= silentInterval
	})
	for member, change := range m.changes {
		if change.added || member == m.self || m.listed[member] || m.fenceElapsed(change, now) || m.statements[member].version >= change.version {
			continue
		}
		if askedAt := m.schedule.unlistedAskedAt[member]; !found || askedAt.Before(lastAskedAt) {
			best, lastAskedAt, found = member, askedAt, true
		}
	}
	return best, found
}

// leastRecentlyAsked returns the least recently asked of the wanted members, and when that was.
func (m *Membership) leastRecentlyAsked(wanted func(*memberState) bool) (best Member, askedAt time.Time, found bool) {
	ownIndex, oldest := m.ownIndex(), -1
	for i := range m.states {
		s := &m.states[i]
		if i != ownIndex && wanted(s) && (oldest < 0 || s.askedAt.Before(m.states[oldest].askedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return Member{}, time.Time{}, false
	}
	return m.roster.members[oldest], m.states[oldest].askedAt, true
}

// nextInRound returns the least recently asked member if it is due in the steady round.
func (m *Membership) nextInRound(now time.Time) (Member, bool) {
	best, askedAt, found := m.leastRecentlyAsked(func(*memberState) bool { return true })
	return best, found && now.Sub(askedAt) >= m.limits.Tenure()/roundsPerTenure
}

// Others returns the other members of the list, which must learn that this process gives up its shards.
func (m *Membership) Others() []Member {
	var others []Member
	for _, member := range m.roster.members {
		if member != m.self {
			others = append(others, member)
		}
	}
	return others
}
