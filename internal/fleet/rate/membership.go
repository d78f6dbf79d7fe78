package rate

import (
	"slices"
	"time"
)

// Membership decides whether this process may act as a home, and for which shards.
//
// Without this, a home that is partitioned, paused or reads a stale replica of the
// host list goes on lending from a shard that another host has taken over, and the
// organisation gets more than its rate; neither side notices. So a home acts
// only while a quorum of its list has lately stated that it knows no newer list,
// and a successor starts only when a quorum has known the newer list for the whole
// fence, or when each host that may still hold the shard has itself stated that it
// released it. Two quorums share a member, and a member's version never
// decreases, so both can't be true at once. The time of a statement is that of the
// request it answers, on this process's own clock.
type Membership struct {
	self        Member
	incarnation uint64
	limits      Limits
	startedAt   time.Time
	quorum      func(members int) int

	version uint64
	roster  roster
	listed  map[Member]bool
	// confirming means that this process's statements count as confirmations of its list; false after a start, see reviewConfirming.
	confirming bool
	ceased     bool

	// changes has the last change of each member that was added or removed lately.
	changes map[Member]listChange
	// statements has the newest statement of each member whose list is not newer than the own;
	// pending has those for a newer list, until this process receives that list.
	statements map[Member]statementSummary
	pending    map[Member]receivedStatement
	// states has the same for the listed members, in the order of the roster; indexes gives their positions.
	states            []memberState
	indexes           map[Member]int32
	newestIncarnation map[Member]uint64
	// cessations has the newest incarnation of each member that gave up its shards.
	cessations map[Member]cessation

	// tenureEnd is when the right to act ends by the confirmations so far, tenureReviewedAt when they were last sorted to find it.
	tenureEnd        time.Time
	tenureReviewedAt time.Time
	// tenureStart is when that right last began.
	tenureStart time.Time
	// agreedVersion is the last version of the list that a quorum agreed on, with its roster and the lapses until then.
	agreedVersion uint64
	agreedRoster  roster
	agreedLapses  uint64
	// changedAt is when something was learned that can move shards, generation the number of such events.
	changedAt  time.Time
	generation uint64
	// lapses counts how often the right to act was lost.
	lapses uint64
	// learned has the generation at which a member's change was learned from others, because this process skipped that version.
	learned map[Member]uint64
	// gaplessSince is the version since which this process has received every one.
	gaplessSince uint64
	schedule     askSchedule
}

// listChange is the last change of one member: added or removed. quorumSince is when a quorum is first known to have had the version, or zero.
type listChange struct {
	added       bool
	version     uint64
	quorumSince time.Time
}

// receivedStatement is a member's statement with the times at which it was asked for and received.
type receivedStatement struct {
	Statement
	askedAt    time.Time
	receivedAt time.Time
}

// statementSummary is the relevant part of a member's newest statement whose list is not newer than
// the own. receivedAt is when the first one of the same version and incarnation was received.
type statementSummary struct {
	version     uint64
	incarnation uint64
	confirming  bool
	askedAt     time.Time
	receivedAt  time.Time
}

// cessation records that an incarnation of a member gave up its shards for good.
type cessation struct {
	incarnation uint64
	receivedAt  time.Time
}

// MembershipOption sets one property of a membership.
type MembershipOption func(*Membership)

// WithQuorum replaces the number of members that make a quorum; a smaller number than Quorum's is unsafe.
func WithQuorum(quorum func(members int) int) MembershipOption {
	return func(m *Membership) { m.quorum = quorum }
}

// NewMembership returns a membership without a host list. The incarnations of one member must increase with each start.
func NewMembership(self Member, incarnation uint64, l Limits, now time.Time, opts ...MembershipOption) *Membership {
	m := &Membership{
		self: self, incarnation: incarnation, limits: l, startedAt: now, quorum: Quorum,
		listed: map[Member]bool{}, changes: map[Member]listChange{}, statements: map[Member]statementSummary{}, pending: map[Member]receivedStatement{},
		newestIncarnation: map[Member]uint64{}, cessations: map[Member]cessation{},
		learned: map[Member]uint64{}, schedule: askSchedule{unlistedAskedAt: map[Member]time.Time{}, silent: map[Member]bool{}},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// SetList applies a newer version of the host list.
func (m *Membership) SetList(version uint64, members []Member, now time.Time) {
	if version <= m.version {
		return
	}
	m.expireTenure(now)
	listed := make(map[Member]bool, len(members))
	for _, member := range members {
		listed[member] = true
	}
	if m.confirming {
		m.recordChanges(version, listed)
	}
	if version != m.version+1 {
		m.gaplessSince = version
	}
	m.version, m.listed, m.roster = version, listed, newRoster(slices.Clone(members))
	for from, s := range m.pending {
		if s.Version <= version {
			delete(m.pending, from)
			m.apply(s)
		}
	}
	m.rebuildStates()
	m.markChanged(now)
	m.review(now)
}

func (m *Membership) recordChanges(version uint64, listed map[Member]bool) {
	for member := range listed {
		if !m.listed[member] {
			m.changes[member] = listChange{added: true, version: version}
		}
	}
	for member := range m.listed {
		if !listed[member] {
			m.changes[member] = listChange{version: version}
		}
	}
}

// Cease gives up all shards for good; later statements report it.
func (m *Membership) Cease(now time.Time) {
	m.ceased = true
	m.markChanged(now)
}

// Statement returns this process's present statement.
func (m *Membership) Statement(now time.Time) Statement {
	s := Statement{From: m.self, Incarnation: m.incarnation, Version: m.version, Vouching: m.confirming, Ceased: m.ceased}
	for member, change := range m.changes {
		flip := Flip{Member: member, In: change.added, Version: change.version, Reached: !change.quorumSince.IsZero()}
		if flip.Reached {
			flip.Age = now.Sub(change.quorumSince)
		}
		s.Flips = append(s.Flips, flip)
	}
	for member, ceased := range m.cessations {
		s.Handed = append(s.Handed, Handed{Member: member, Ceased: ceased.incarnation, Newest: m.newestIncarnation[member]})
	}
	return s
}

// Answer records the asking member's statement and returns this process's own.
//
// The asking member's incarnation must be recorded before the reply is sent. The reply may
// help a restarted process to begin, so from then on this host must no longer rely on
// the statement of that member's earlier process that it gave up its shards.
func (m *Membership) Answer(ask Statement, now time.Time) Statement {
	m.recordSender(ask, now)
	return m.Statement(now)
}

// ApplyReply applies the statement of a member that was asked at the given time.
func (m *Membership) ApplyReply(s Statement, asked, now time.Time) {
	m.expireTenure(now)
	m.recordSender(s, now)
	m.recordAnswer(s.From, now)
	next := receivedStatement{Statement: s, askedAt: asked, receivedAt: now}
	if s.Version > m.version {
		m.pending[s.From] = next
		if index, ok := m.indexes[s.From]; ok {
			m.states[index].pendingVersion = s.Version
		}
		return
	}
	m.apply(next)
	m.review(now)
}

func (m *Membership) apply(s receivedStatement) {
	previous, known := m.statements[s.From]
	if known && s.askedAt.Before(previous.askedAt) {
		return
	}
	for _, flip := range s.Flips {
		m.mergeChange(flip, s.receivedAt)
	}
	for _, handed := range s.Handed {
		m.recordIncarnation(handed.Member, handed.Ceased, true, s.receivedAt)
		m.recordIncarnation(handed.Member, handed.Newest, false, s.receivedAt)
	}
	next := statementSummary{version: s.Version, incarnation: s.Incarnation, confirming: s.Vouching, askedAt: s.askedAt, receivedAt: s.receivedAt}
	if known && previous.version == next.version && previous.incarnation == next.incarnation {
		next.receivedAt = previous.receivedAt
	}
	m.statements[s.From] = next
	if index, ok := m.indexes[s.From]; ok {
		m.states[index].apply(next)
	}
	if !known || previous.version != next.version || previous.confirming != next.confirming || previous.incarnation != next.incarnation {
		m.markChanged(s.receivedAt)
	}
}

// mergeChange applies a change of the list that another member reports.
func (m *Membership) mergeChange(flip Flip, now time.Time) {
	own, known := m.changes[flip.Member]
	var quorumSince time.Time
	if flip.Reached {
		quorumSince = now.Add(-flip.Age)
	}
	switch {
	case known && flip.Version < own.version:
		return
	case known && flip.Version == own.version:
		if flip.Reached && (own.quorumSince.IsZero() || quorumSince.Before(own.quorumSince)) {
			own.quorumSince = quorumSince
			m.changes[flip.Member] = own
			m.markChanged(now)
		}
	case flip.Reached && flip.Age > m.limits.Fence:
		return
	case known && flip.In == own.added && own.version >= m.gaplessSince:
		// The other member skipped versions and gives the same change too late a version.
		return
	default:
		m.changes[flip.Member] = listChange{added: flip.In, version: flip.Version, quorumSince: quorumSince}
		m.markChanged(now)
		m.learned[flip.Member] = m.generation
		if flip.Member == m.self {
			m.lapses++
		}
	}
}

// recordSender applies what a member states about itself. If its incarnation is older
// than the one that gave up its shards, its clock stepped back at a restart: the
// cessation is void, since it would release what the later process holds.
func (m *Membership) recordSender(s Statement, now time.Time) {
	if s.Incarnation < m.newestIncarnation[s.From] && m.cessations[s.From].incarnation == m.newestIncarnation[s.From] {
		m.newestIncarnation[s.From]++
	}
	m.recordIncarnation(s.From, s.Incarnation, s.Ceased, now)
}

// recordIncarnation updates the newest incarnation of a member, and the newest that gave up its shards.
func (m *Membership) recordIncarnation(member Member, incarnation uint64, ceased bool, now time.Time) {
	m.newestIncarnation[member] = max(m.newestIncarnation[member], incarnation)
	if ceased && incarnation > m.cessations[member].incarnation {
		m.cessations[member] = cessation{incarnation: incarnation, receivedAt: now}
		m.markChanged(now)
	}
}

// ceasedAt returns when the newest known incarnation of a member stated that it gave up its shards, or false if it has not.
func (m *Membership) ceasedAt(member Member) (time.Time, bool) {
	ceased, ok := m.cessations[member]
	return ceased.receivedAt, ok && ceased.incarnation == m.newestIncarnation[member]
}

// markChanged records that something was learned that can move shards.
func (m *Membership) markChanged(now time.Time) {
	m.generation++
	if now.After(m.changedAt) {
		m.changedAt = now
	}
}

// expireTenure checks whether the tenure has ended: shards that were held until then may belong to others now.
func (m *Membership) expireTenure(now time.Time) {
	if !m.tenureEnd.IsZero() && !now.Before(m.tenureEnd) {
		m.tenureEnd = time.Time{}
		m.lapses++
		m.markChanged(now)
	}
}

// MayLend reports whether this process may act as a home now.
func (m *Membership) MayLend(now time.Time) bool {
	m.expireTenure(now)
	return m.confirming && !m.ceased && m.listed[m.self] && now.Before(m.tenureEnd) &&
		now.Sub(m.startedAt) >= m.limits.lenderLoan()
}
