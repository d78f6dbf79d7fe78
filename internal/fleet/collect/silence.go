package collect

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// silentAfter is how long after its last beat a daemon counts as silent: two beats that did not come.
	silentAfter = 2*Interval + 200*time.Millisecond
	// listenTime is how long a collector must have been the one that daemons tell before it knows who is silent.
	listenTime = silentAfter + Interval
	// groupTime is how long a group's word on who is silent counts.
	groupTime = time.Second
)

// silence is who has stopped telling of itself.
//
// It is for many hosts that lose power at once. A daemon finds out that another is gone by a request that has no answer, so each would
// lose one at least to each host that is gone: the square of the fleet.
type silence struct {
	last map[netip.Addr]time.Time
	// since is when this collector became the one that daemons tell; zero while another is.
	since time.Time
	// groups are the silent hosts that groups have told of.
	groups map[netip.AddrPort]toldSilent
}

type toldSilent struct {
	hosts []netip.Addr
	at    time.Time
}

func newSilence() silence {
	return silence{last: map[netip.Addr]time.Time{}, groups: map[netip.AddrPort]toldSilent{}}
}

// hear takes in whose sign of life a beat is.
func (s *silence) hear(in Heartbeat, now time.Time) {
	s.last[in.From.Addr()] = now
	for _, h := range in.Heard {
		s.last[h] = now
	}
	if in.Group {
		s.groups[in.From] = toldSilent{in.Missing, now}
	}
}

// collects notes whether this collector is the one that daemons tell.
func (s *silence) collects(does bool, now time.Time) {
	switch {
	case !does:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// among returns which of the daemons that should tell this collector don't.
func (s *silence) among(members []netip.Addr, now time.Time) []netip.Addr {
	if s.since.IsZero() || now.Sub(s.since) < listenTime {
		return nil
	}
	var silent []netip.Addr
	for _, h := range members {
		if now.Sub(s.last[h]) > silentAfter {
			silent = append(silent, h)
		}
	}
	return silent
}

// inGroups returns who is silent by the word of groups.
func (s *silence) inGroups(now time.Time) []netip.Addr {
	var silent []netip.Addr
	for _, g := range s.groups {
		if now.Sub(g.at) <= groupTime {
			silent = append(silent, g.hosts...)
		}
	}
	return silent
}

// heard returns who has told of itself lately.
func (s *silence) heard(now time.Time) []netip.Addr {
	maps.DeleteFunc(s.last, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) > silentAfter })
	return slices.SortedFunc(maps.Keys(s.last), netip.Addr.Compare)
}
