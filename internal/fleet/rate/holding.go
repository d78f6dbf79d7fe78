package rate

import (
	"slices"
	"time"
)

// mayTake reports whether this process may begin to hold a shard that its list
// gives it, and from when on. False means that another may still hold it, or
// that too few members are known to have this list.
func (m *Membership) mayTake(key uint64, now time.Time) (time.Time, bool) {
	own := rank(key, m.self.hash())
	if m.settled != m.version && !m.kept(key, own) {
		return time.Time{}, false
	}
	from := m.started
	for e, f := range m.flips {
		if f.in || rank(key, e.hash()) < own {
			continue
		}
		at, ok := m.released(e, f, now)
		if !ok {
			return time.Time{}, false
		}
		from = latest(from, at)
	}
	entry, entered := m.flips[m.self]
	if entered {
		at, ok := m.releasedBelow(key, own, entry, now)
		if !ok {
			return time.Time{}, false
		}
		from = latest(from, at)
	}
	return from.Add(m.limits.lent()), true
}

// kept reports whether the shard was this process's in the last list that was
// agreed on, and stayed so in every list since. Otherwise an organisation that
// was not seen lately would be refused after each change of the list until a quorum
// is known to have it, and in a large fleet the list changes every few minutes.
func (m *Membership) kept(key, own uint64) bool {
	home, ok := m.settledRoster.home(key)
	if !ok || home != m.self || m.settledLapses != m.lapses {
		return false
	}
	for e, f := range m.flips {
		if f.version > m.settled && (e == m.self || rank(key, e.hash()) > own) {
			return false
		}
	}
	return true
}

// agreed reports whether a quorum, this process included, vouches for exactly this version of the list.
//
// Their statements carry every flip that any home still acts on: a home began
// with a quorum of its own, and the two share a member.
func (m *Membership) agreed() bool {
	if !m.vouching {
		return false
	}
	count, own := 1, m.own()
	for i := range m.seats {
		if s := &m.seats[i]; i != own && s.vouching && s.version == m.version {
			count++
		}
	}
	return count >= m.quorum(len(m.roster.members))
}

// released reports whether a member has let go of what the flip took away
// from it: by the fence, by its word that it knows the list since then, or by
// its last word. A newer list than the own one proves nothing, since it may
// have given the shard back.
func (m *Membership) released(e Member, f flip, now time.Time) (time.Time, bool) {
	if m.old(f, now) {
		return f.reached.Add(m.limits.Fence), true
	}
	if s, ok := m.said[e]; ok && s.version >= f.version {
		return s.heard, true
	}
	return m.hasCeased(e)
}

// releasedBelow asks the same of the members that were home before this one
// entered the list: those that rank below it, down to the first that has been
// a member for the whole fence, since no list in use lacks that one.
func (m *Membership) releasedBelow(key, own uint64, entry flip, now time.Time) (time.Time, bool) {
	if m.old(entry, now) {
		return entry.reached.Add(m.limits.Fence), true
	}
	var from time.Time
	for _, e := range m.below(key, own) {
		f, flipped := m.flips[e]
		at, ok := m.released(e, entry, now)
		if !ok && flipped && !f.in {
			at, ok = m.released(e, f, now)
		}
		if !ok {
			return time.Time{}, false
		}
		from = latest(from, at)
		if m.listed[e] && (!flipped || m.old(f, now)) {
			break
		}
	}
	return from, true
}

// below returns the members, listed or lately listed, that rank below the given rank, highest first.
func (m *Membership) below(key, own uint64) []Member {
	type ranked struct {
		member Member
		rank   uint64
	}
	var all []ranked
	add := func(e Member, hash uint64) {
		if r := rank(key, hash); e != m.self && r < own {
			all = append(all, ranked{e, r})
		}
	}
	for i, e := range m.roster.members {
		add(e, m.roster.hashes[i])
	}
	for e, f := range m.flips {
		if !f.in {
			add(e, e.hash())
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	out := make([]Member, len(all))
	for i, a := range all {
		out[i] = a.member
	}
	return out
}

// contested reports whether a flip of a member that outranks this process for
// the shard was learnt from others since the generation: that member may have
// held the shard in versions of the list that this process skipped.
func (m *Membership) contested(key uint64, since uint64) bool {
	own := rank(key, m.self.hash())
	for e, generation := range m.foreign {
		if generation > since && e != m.self && rank(key, e.hash()) > own {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
