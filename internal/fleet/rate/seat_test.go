package rate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func someMembers(count int) []Member {
	all := make([]Member, count)
	for i := range all {
		at := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
		all[i] = Member{Host: fmt.Sprintf("host-%d", i), Peer: netip.AddrPortFrom(at, 7001)}
	}
	return all
}

func TestSeatsFollowTheLists(t *testing.T) {
	// Hosts come and go while their answers arrive, some from newer lists and some late. A seat that
	// kept another host's word would let a home act that no quorum confirmed.
	everyone := someMembers(6)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := NewMembership(everyone[0], 1, DefaultLimits(), now)
		for range 40 {
			now = now.Add(time.Second)
			from := rapid.SampledFrom(everyone).Draw(t, "member")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				listed := rapid.SliceOfNDistinct(rapid.SampledFrom(everyone), 1, 6, rapid.ID[Member]).Draw(t, "listed")
				m.SetList(m.version+uint64(rapid.IntRange(0, 2).Draw(t, "newer")), listed, now)
			case 1:
				version := uint64(rapid.IntRange(0, int(m.version)+2).Draw(t, "version"))
				late := time.Duration(rapid.IntRange(0, 3).Draw(t, "late")) * time.Second
				m.Hear(Statement{From: from, Incarnation: 1, Version: version, Vouching: rapid.Bool().Draw(t, "vouching")}, now.Add(-late), now)
			case 2:
				m.NextAsk(now)
			}
			checkSeats(t, m)
		}
	})
}

func checkSeats(t *rapid.T, m *Membership) {
	for i, e := range m.roster.members {
		s, said := m.seats[i], m.said[e]
		want := seat{version: said.version, vouching: said.vouching, said: said.asked, ahead: m.ahead[e].Version, asked: s.asked}
		_, want.known = m.said[e]
		if _, kept := m.asking.unlisted[e]; kept || s != want {
			t.Fatalf("%s has the seat %+v, want %+v", e.Host, s, want)
		}
	}
}

func TestWhoWasAskedLongestAgoIsNext(t *testing.T) {
	// A host leaves the list and comes back. If its last question were forgotten, a host whose
	// list flaps would be asked again and again before those that were never asked.
	members := someMembers(4)
	now := time.Unix(1000, 0)
	m := NewMembership(members[0], 1, DefaultLimits(), now)
	m.SetList(1, members, now)
	asked := map[Member]int{}
	for i := range 9 {
		now = now.Add(slowPace)
		m.SetList(uint64(2*i+2), members[:3], now)
		m.SetList(uint64(2*i+3), members, now)
		e, ok := m.NextAsk(now)
		if !ok {
			t.Fatal("nobody is asked")
		}
		asked[e]++
	}
	for _, e := range members[1:] {
		if asked[e] != 3 {
			t.Fatalf("asked %v, want each of the three others three times", asked)
		}
	}
}

// BenchmarkAnswer is one question and its answer while a fleet has just started.
func BenchmarkAnswer(b *testing.B) {
	for _, count := range []int{15, 1000, 3400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			members := someMembers(count)
			now := time.Unix(1000, 0)
			m := NewMembership(members[0], 1, DefaultLimits(), now)
			m.SetList(1, members, now)
			for i := 0; b.Loop(); i++ {
				now = now.Add(fastPace)
				e, _ := m.NextAsk(now)
				m.Hear(Statement{From: e, Incarnation: 1, Version: 1}, now, now)
			}
		})
	}
}
