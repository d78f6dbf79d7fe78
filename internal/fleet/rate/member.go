package rate

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Member is a host at one address. The same host at another address is another member,
// since only a bind of the same address proves that the previous process has ended.
type Member struct {
	Host string         `msgpack:"host"`
	Peer netip.AddrPort `msgpack:"peer"`
}

// Members returns the hosts of the list that may be homes: those that are not leaving.
func Members(hosts []lists.Host) []Member {
	all := make([]Member, 0, len(hosts))
	for _, h := range hosts {
		if !h.Leaving {
			all = append(all, Member{Host: h.Host, Peer: h.Peer})
		}
	}
	return all
}

// shardPlan returns the part of the organisation's rate (tokens/s) and burst
// (whole tokens) that one of its shards has. The remainder of a burst goes to the
// shards of the lowest numbers, so that a greater burst takes no tokens from any shard.
func shardPlan(o lists.Organisation, shard, shards int) (rate, burst float64) {
	tokens := o.Burst / shards
	if shard < o.Burst%shards {
		tokens++
	}
	return o.Rate * float64(tokens) / float64(o.Burst), float64(tokens)
}

// shardKey spreads the shards of all organisations over the range of the hash.
func shardKey(organisation string, shard int) uint64 {
	return xxhash.Sum64String(organisation) + uint64(shard)*goldenGamma
}

// The constants of the splitmix64 generator.
const (
	goldenGamma = 0x9e3779b97f4a7c15
	mixA        = 0xbf58476d1ce4e5b9
	mixB        = 0x94d049bb133111eb
)

// rank orders the members for a shard by rendezvous hashing; the highest is the shard's home.
func rank(key, member uint64) uint64 {
	x := key ^ member
	x = (x ^ x>>30) * mixA
	x = (x ^ x>>27) * mixB
	return x ^ x>>31
}

func (m Member) hash() uint64 {
	raw := binary.BigEndian.AppendUint16(append([]byte(m.Host), m.Peer.Addr().AsSlice()...), m.Peer.Port())
	return xxhash.Sum64(raw)
}

// roster is a list of members with their hashes.
type roster struct {
	members []Member
	hashes  []uint64
}

func newRoster(members []Member) roster {
	r := roster{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = m.hash()
	}
	return r
}

// home returns the member that owns a shard, or false if there is none.
func (r *roster) home(key uint64) (Member, bool) {
	if len(r.members) == 0 {
		return Member{}, false
	}
	homeIndex, highest := 0, rank(key, r.hashes[0])
	for i := 1; i < len(r.hashes); i++ {
		if v := rank(key, r.hashes[i]); v > highest {
			homeIndex, highest = i, v
		}
	}
	return r.members[homeIndex], true
}
