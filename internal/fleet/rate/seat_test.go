package rate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testMembers(count int) []Member {
	all := make([]Member, count)
	for i := range all {
		address := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
		all[i] = Member{Host: fmt.Sprintf("host-%d", i), Peer: netip.AddrPortFrom(address, 7001)}
	}
	return all
}

func TestMemberStatesFollowLists(t *testing.T) {
	// Members are added and removed while their answers arrive, some of newer lists and some late. A state
	// that kept another member's statement would let a home act that no quorum has confirmed.
	members := testMembers(6)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := NewMembership(members[0], 1, DefaultLimits(), now)
		for range 40 {
			now = now.Add(time.Second)
			from := rapid.SampledFrom(members).Draw(t, "member")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				listed := rapid.SliceOfNDistinct(rapid.SampledFrom(members), 1, 6, rapid.ID[Member]).Draw(t, "listed")
				m.SetList(m.version+uint64(rapid.IntRange(0, 2).Draw(t, "newer")), listed, now)
			case 1:
				version := uint64(rapid.IntRange(0, int(m.version)+2).Draw(t, "version"))
				late := time.Duration(rapid.IntRange(0, 3).Draw(t, "late")) * time.Second
				m.ApplyReply(Statement{From: from, Incarnation: 1, Version: version, Vouching: rapid.Bool().Draw(t, "vouching")}, now.Add(-late), now)
			case 2:
				m.NextAsk(now)
			}
			checkMemberStates(t, m)
		}
	})
}

func checkMemberStates(t *rapid.T, m *Membership) {
	for i, member := range m.roster.members {
		state, summary := m.states[i], m.statements[member]
		want := memberState{version: summary.version, confirming: summary.confirming, answeredAskAt: summary.askedAt, pendingVersion: m.pending[member].Version, askedAt: state.askedAt}
		_, want.known = m.statements[member]
		if _, unlisted := m.schedule.unlistedAskedAt[member]; unlisted || state != want {
			t.Fatalf("%s has the state %+v, want %+v", member.Host, state, want)
		}
	}
}

func TestLeastRecentlyAskedIsNext(t *testing.T) {
	// A member is removed from the list and added again, repeatedly. If the time at which it was last asked
	// were forgotten, it would be asked each time before those that were never asked.
	members := testMembers(4)
	now := time.Unix(1000, 0)
	m := NewMembership(members[0], 1, DefaultLimits(), now)
	m.SetList(1, members, now)
	asked := map[Member]int{}
	for i := range 9 {
		now = now.Add(slowAskInterval)
		m.SetList(uint64(2*i+2), members[:3], now)
		m.SetList(uint64(2*i+3), members, now)
		member, ok := m.NextAsk(now)
		if !ok {
			t.Fatal("no member is asked")
		}
		asked[member]++
	}
	for _, member := range members[1:] {
		if asked[member] != 3 {
			t.Fatalf("asked %v, want each of the three other members three times", asked)
		}
	}
}

// BenchmarkAnswer measures one request for a statement and its answer in a fleet that has just started.
func BenchmarkAnswer(b *testing.B) {
	for _, count := range []int{15, 1000, 3400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			members := testMembers(count)
			now := time.Unix(1000, 0)
			m := NewMembership(members[0], 1, DefaultLimits(), now)
			m.SetList(1, members, now)
			for i := 0; b.Loop(); i++ {
				now = now.Add(fastAskInterval)
				member, _ := m.NextAsk(now)
				m.ApplyReply(Statement{From: member, Incarnation: 1, Version: 1}, now, now)
			}
		})
	}
}
