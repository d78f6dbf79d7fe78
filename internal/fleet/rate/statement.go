package rate

import "time"

// Statement is what a daemon reports about itself and the host list, both when it asks another member and when it replies.
// Vouching is false while the sender can't confirm lists, since it has restarted and has not yet received statements from enough members.
// Ceased means that it has given up its shards for good.
type Statement struct {
	From        Member   `msgpack:"from"`
	Incarnation uint64   `msgpack:"incarnation"`
	Version     uint64   `msgpack:"version"`
	Vouching    bool     `msgpack:"vouching"`
	Ceased      bool     `msgpack:"ceased"`
	Flips       []Flip   `msgpack:"flips"`
	Handed      []Handed `msgpack:"handed"`
}

// Flip is the last change by which a member was added to or removed from the host list.
type Flip struct {
	Member  Member `msgpack:"member"`
	In      bool   `msgpack:"in"`
	Version uint64 `msgpack:"version"`
	// Reached says whether a quorum is known to have this version or a newer one, and Age for how long at least.
	Reached bool          `msgpack:"reached"`
	Age     time.Duration `msgpack:"age"`
}

// Handed says which incarnation of a member gave up its shards for good, and which is the newest incarnation known.
type Handed struct {
	Member Member `msgpack:"member"`
	Ceased uint64 `msgpack:"ceased"`
	Newest uint64 `msgpack:"newest"`
}
