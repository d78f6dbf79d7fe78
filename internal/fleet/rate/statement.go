package rate

import "time"

// Statement is what a daemon says of itself and of membership, in a question and in its answer.
type Statement struct {
	From        Member   `msgpack:"from"`
	Incarnation uint64   `msgpack:"incarnation"`
	Version     uint64   `msgpack:"version"`
	Vouching    bool     `msgpack:"vouching"`
	Ceased      bool     `msgpack:"ceased"`
	Flips       []Flip   `msgpack:"flips"`
	Handed      []Handed `msgpack:"handed"`
}

// Flip is the last time that a member entered or left the hosts list.
type Flip struct {
	Member  Member `msgpack:"member"`
	In      bool   `msgpack:"in"`
	Version uint64 `msgpack:"version"`
	// Reached tells whether a quorum is known to hold this version or a newer one, Age for how long at least.
	Reached bool          `msgpack:"reached"`
	Age     time.Duration `msgpack:"age"`
}

// Handed says that one incarnation of a member gave up its shards for good, and which is the newest incarnation heard of.
type Handed struct {
	Member Member `msgpack:"member"`
	Ceased uint64 `msgpack:"ceased"`
	Newest uint64 `msgpack:"newest"`
}
