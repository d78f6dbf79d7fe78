package rate

import "time"

// asking is the order in which members are asked.
type asking struct {
	// unlisted tells when members that the list lacks were last asked; seats tell it of the others.
	unlisted map[Member]time.Time
	// missed are the members asked again because they had not answered.
	missed map[Member]bool
	latest time.Time
	// restUntil is when to look again after nobody was due, unless something was learnt since the generation.
	restUntil  time.Time
	generation uint64
}

// Paces of the questions. A steady round takes a quarter of a tenure, so that
// three in a row may be lost; after a change of the list the members that are
// not known to have it are asked fast at first, so that a shard stands idle
// for seconds, then slowly, so that a dead rack costs little.
const (
	fastPace   = 20 * time.Millisecond
	slowPace   = 250 * time.Millisecond
	fastRounds = 4
	perTenure  = 4
)

// A member that did not answer is asked again after silentPace, and after answerTime while others that were silent answer.
//
// Made for regions that find each other again. Left to the steady round, a home that lost its right to lend
// meanwhile would wait for a quarter of a tenure after the heal, and organisations would be refused as over their
// rate while all hosts are well. 3,400 daemons together ask a host that is down 340 times a second, and one
// daemon asks no more often than slowPace, however many are down.
const (
	silentPace = 10 * time.Second
	answerTime = 2 * time.Second
)

// NextAsk returns the member to ask now, or false while it is too early.
func (m *Membership) NextAsk(now time.Time) (Member, bool) {
	if now.Sub(m.asking.latest) < fastPace || m.resting(now) {
		return Member{}, false
	}
	e, ok := m.unsure(now)
	if !ok {
		e, ok = m.longest(now)
	}
	if ok {
		m.asked(e, now)
		return e, true
	}
	m.asking.restUntil, m.asking.generation = now.Add(slowPace), m.generation
	return Member{}, false
}

// asked notes that a question goes out.
func (m *Membership) asked(e Member, now time.Time) {
	m.asking.latest = now
	if at, ok := m.places[e]; ok {
		s := &m.seats[at]
		if s.unanswered() {
			m.asking.missed[e] = true
		}
		s.asked = now
		return
	}
	m.asking.unlisted[e] = now
}

// resting spares a process the look through thousands of members at each tick, which
// would take a good part of the time it may spend on control while nothing happens.
func (m *Membership) resting(now time.Time) bool {
	return m.asking.generation == m.generation && now.Before(m.asking.restUntil)
}

// answered notes that a member answered. One that was silent before lets the others that are be asked fast.
func (m *Membership) answered(e Member, now time.Time) {
	if m.asking.missed[e] {
		delete(m.asking.missed, e)
		m.touch(now)
	}
}

// unsure returns the member asked longest ago of those not known to vouch for this list, or silent.
func (m *Membership) unsure(now time.Time) (Member, bool) {
	pace, silence := slowPace, silentPace
	if now.Sub(m.changed) < fastRounds*fastPace*time.Duration(len(m.roster.members)+1) {
		pace, silence = fastPace, answerTime
	}
	if now.Sub(m.asking.latest) < pace {
		return Member{}, false
	}
	best, last, found := m.first(func(s *seat) bool {
		return s.version != m.version || !s.vouching || s.unanswered() && now.Sub(s.asked) >= silence
	})
	for e, f := range m.flips {
		if f.in || e == m.self || m.listed[e] || m.old(f, now) || m.said[e].version >= f.version {
			continue
		}
		if at := m.asking.unlisted[e]; !found || at.Before(last) {
			best, last, found = e, at, true
		}
	}
	return best, found
}

// first returns the member asked longest ago of those that are wanted, and when that was.
func (m *Membership) first(want func(*seat) bool) (best Member, last time.Time, found bool) {
	own, at := m.own(), -1
	for i := range m.seats {
		s := &m.seats[i]
		if i != own && want(s) && (at < 0 || s.asked.Before(m.seats[at].asked)) {
			at = i
		}
	}
	if at < 0 {
		return Member{}, time.Time{}, false
	}
	return m.roster.members[at], m.seats[at].asked, true
}

// longest returns the member asked longest ago if the steady round has come to it.
func (m *Membership) longest(now time.Time) (Member, bool) {
	best, last, found := m.first(func(*seat) bool { return true })
	return best, found && now.Sub(last) >= m.limits.Tenure()/perTenure
}

// Others returns the other members of the list, those who are told when this process lets go.
func (m *Membership) Others() []Member {
	var others []Member
	for _, e := range m.roster.members {
		if e != m.self {
			others = append(others, e)
		}
	}
	return others
}
