package rate

import (
	"slices"
	"time"
)

// Membership decides whether this process may act as a home, and for which shards.
//
// What goes wrong without it: a home that is cut off, paused or reads a stale
// replica of the hosts list goes on spending a shard that another host has
// taken over, and the organisation gets more than its rate; neither side sees
// it. So a home acts only while a quorum of its list has told it lately that
// it knows no newer list, and a successor begins only when a quorum has known
// the newer list for the whole fence, or when each host that may still hold
// the shard has itself said that it let go. Two quorums share a member, and a
// member's version never falls, so the two can't both be true at once. All
// answers count from when they were asked for, on this process's own clock.
type Membership struct {
	self        Member
	incarnation uint64
	limits      Limits
	started     time.Time
	quorum      func(members int) int

	version  uint64
	roster   roster
	listed   map[Member]bool
	vouching bool
	ceased   bool

	flips map[Member]flip
	said  map[Member]saying
	ahead map[Member]heardStatement
	// seats hold the same of the listed members, in the order of the roster; places are their numbers.
	seats  []seat
	places map[Member]int32
	newest map[Member]uint64
	handed map[Member]handedAt

	// until ends the right to act that the confirmations so far give; weighed is when they were last gone through for it.
	until   time.Time
	weighed time.Time
	// regained is when that right last began.
	regained time.Time
	// settled is the last version that a quorum agreed on, with its roster and the lapses until then.
	settled       uint64
	settledRoster roster
	settledLapses uint64
	// changed and generation tell when and that something was learnt that can move shards.
	changed    time.Time
	generation uint64
	// lapses counts how often the right to act was lost.
	lapses uint64
	// foreign holds the generation at which a member's flip was learnt from others: this process skipped that version.
	foreign map[Member]uint64
	// gapless is the version since which this process has seen every one.
	gapless uint64
	asking  asking
}

type flip struct {
	in      bool
	version uint64
	reached time.Time
}

// heardStatement is a member's statement with the times of its question and of its arrival.
type heardStatement struct {
	Statement
	asked time.Time
	heard time.Time
}

// saying is what counts of a member's newest statement that is not newer than the own list.
type saying struct {
	version     uint64
	incarnation uint64
	vouching    bool
	asked       time.Time
	heard       time.Time
}

type handedAt struct {
	incarnation uint64
	heard       time.Time
}

// MembershipOption sets one property of a membership.
type MembershipOption func(*Membership)

// WithQuorum replaces how many members count as the fleet's word; a smaller number is unsafe.
func WithQuorum(quorum func(members int) int) MembershipOption {
	return func(m *Membership) { m.quorum = quorum }
}

// NewMembership returns a membership that knows nothing; incarnations of one member must grow.
func NewMembership(self Member, incarnation uint64, l Limits, now time.Time, opts ...MembershipOption) *Membership {
	m := &Membership{
		self: self, incarnation: incarnation, limits: l, started: now, quorum: Quorum,
		listed: map[Member]bool{}, flips: map[Member]flip{}, said: map[Member]saying{}, ahead: map[Member]heardStatement{},
		newest: map[Member]uint64{}, handed: map[Member]handedAt{},
		foreign: map[Member]uint64{}, asking: asking{unlisted: map[Member]time.Time{}, missed: map[Member]bool{}},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// SetList takes over a newer version of the hosts list.
func (m *Membership) SetList(version uint64, members []Member, now time.Time) {
	if version <= m.version {
		return
	}
	m.checkLapse(now)
	listed := make(map[Member]bool, len(members))
	for _, e := range members {
		listed[e] = true
	}
	if m.vouching {
		m.recordFlips(version, listed)
	}
	if version != m.version+1 {
		m.gapless = version
	}
	m.version, m.listed, m.roster = version, listed, newRoster(slices.Clone(members))
	for from, s := range m.ahead {
		if s.Version <= version {
			delete(m.ahead, from)
			m.adopt(s)
		}
	}
	m.seatAll()
	m.touch(now)
	m.review(now)
}

func (m *Membership) recordFlips(version uint64, listed map[Member]bool) {
	for e := range listed {
		if !m.listed[e] {
			m.flips[e] = flip{in: true, version: version}
		}
	}
	for e := range m.listed {
		if !listed[e] {
			m.flips[e] = flip{version: version}
		}
	}
}

// Cease gives up all shards for good; the next statements say so.
func (m *Membership) Cease(now time.Time) {
	m.ceased = true
	m.touch(now)
}

// Statement returns what this process says of itself now.
func (m *Membership) Statement(now time.Time) Statement {
	s := Statement{From: m.self, Incarnation: m.incarnation, Version: m.version, Vouching: m.vouching, Ceased: m.ceased}
	for e, f := range m.flips {
		out := Flip{Member: e, In: f.in, Version: f.version, Reached: !f.reached.IsZero()}
		if out.Reached {
			out.Age = now.Sub(f.reached)
		}
		s.Flips = append(s.Flips, out)
	}
	for e, h := range m.handed {
		s.Handed = append(s.Handed, Handed{Member: e, Ceased: h.incarnation, Newest: m.newest[e]})
	}
	return s
}

// Answer notes who asked and returns this process's own statement.
//
// The asker's incarnation must be noted before the answer leaves: an answer
// that helps a restarted process to begin has to void, at the same host, the
// word of the process before it that it let go.
func (m *Membership) Answer(ask Statement, now time.Time) Statement {
	m.noteDirect(ask, now)
	return m.Statement(now)
}

// Hear takes the answer to a question that was asked at the given time.
func (m *Membership) Hear(s Statement, asked, now time.Time) {
	m.checkLapse(now)
	m.noteDirect(s, now)
	m.answered(s.From, now)
	next := heardStatement{Statement: s, asked: asked, heard: now}
	if s.Version > m.version {
		m.ahead[s.From] = next
		if at, ok := m.places[s.From]; ok {
			m.seats[at].ahead = s.Version
		}
		return
	}
	m.adopt(next)
	m.review(now)
}

func (m *Membership) adopt(s heardStatement) {
	old, known := m.said[s.From]
	if known && s.asked.Before(old.asked) {
		return
	}
	for _, f := range s.Flips {
		m.merge(f, s.heard)
	}
	for _, h := range s.Handed {
		m.note(h.Member, h.Ceased, true, s.heard)
		m.note(h.Member, h.Newest, false, s.heard)
	}
	next := saying{version: s.Version, incarnation: s.Incarnation, vouching: s.Vouching, asked: s.asked, heard: s.heard}
	if known && old.version == next.version && old.incarnation == next.incarnation {
		next.heard = old.heard
	}
	m.said[s.From] = next
	if at, ok := m.places[s.From]; ok {
		m.seats[at].take(next)
	}
	if !known || old.version != next.version || old.vouching != next.vouching || old.incarnation != next.incarnation {
		m.touch(s.heard)
	}
}

// merge takes over a flip that another member saw.
func (m *Membership) merge(f Flip, now time.Time) {
	own, known := m.flips[f.Member]
	var reached time.Time
	if f.Reached {
		reached = now.Add(-f.Age)
	}
	switch {
	case known && f.Version < own.version:
		return
	case known && f.Version == own.version:
		if f.Reached && (own.reached.IsZero() || reached.Before(own.reached)) {
			own.reached = reached
			m.flips[f.Member] = own
			m.touch(now)
		}
	case f.Reached && f.Age > m.limits.Fence:
		return
	case known && f.In == own.in && own.version >= m.gapless:
		// The other skipped versions and dates the same flip too late.
		return
	default:
		m.flips[f.Member] = flip{in: f.In, version: f.Version, reached: reached}
		m.touch(now)
		m.foreign[f.Member] = m.generation
		if f.Member == m.self {
			m.lapses++
		}
	}
}

// noteDirect takes what a member says of itself. If it speaks with an older
// incarnation than the one that let go, its clock stepped back at a restart:
// that word is void, since it would free what the process after it holds.
func (m *Membership) noteDirect(s Statement, now time.Time) {
	if s.Incarnation < m.newest[s.From] && m.handed[s.From].incarnation == m.newest[s.From] {
		m.newest[s.From]++
	}
	m.note(s.From, s.Incarnation, s.Ceased, now)
}

// note remembers the newest incarnation of a member, and the newest that let go of its shards.
func (m *Membership) note(e Member, incarnation uint64, ceased bool, now time.Time) {
	m.newest[e] = max(m.newest[e], incarnation)
	if ceased && incarnation > m.handed[e].incarnation {
		m.handed[e] = handedAt{incarnation: incarnation, heard: now}
		m.touch(now)
	}
}

// hasCeased reports whether the newest known process of a member gave up its shards, and when that was heard.
func (m *Membership) hasCeased(e Member) (time.Time, bool) {
	h, ok := m.handed[e]
	return h.heard, ok && h.incarnation == m.newest[e]
}

func (m *Membership) touch(now time.Time) {
	m.generation++
	if now.After(m.changed) {
		m.changed = now
	}
}

// checkLapse notes that the tenure ran out: what was held until then may belong to others now.
func (m *Membership) checkLapse(now time.Time) {
	if !m.until.IsZero() && !now.Before(m.until) {
		m.until = time.Time{}
		m.lapses++
		m.touch(now)
	}
}

// MayLend reports whether this process may act as a home now.
func (m *Membership) MayLend(now time.Time) bool {
	m.checkLapse(now)
	return m.vouching && !m.ceased && m.listed[m.self] && now.Before(m.until) &&
		now.Sub(m.started) >= m.limits.lent()
}
