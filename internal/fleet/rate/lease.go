package rate

import "time"

// LeaseAsk asks a home for tokens of several organisations and settles what was lent before.
type LeaseAsk struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Borrower    string
	Incarnation uint64
	Items       []LeaseItem
}

//go:generate stringer -type=Need -linecomment

// Need is what a question for tokens is for.
type Need uint8

// The needs; each gets more than the one before.
const (
	// Ahead asks for callers who may come.
	Ahead Need = iota // ahead
	// Waiting asks for whole tokens, for requests that wait for the answer.
	Waiting // waiting
	// Gathering asks for fractions too, after no home had a whole token.
	Gathering // gathering
)

// LeaseItem is one organisation's part of a question. Spent and Returned are
// totals over the account's life: a lost message is made good by the next
// one, a doubled or late one changes nothing.
type LeaseItem struct {
	//lint:ignore U1000 read by msgpack
	_msgpack     struct{} `msgpack:",as_array"`
	Organisation string
	Account      uint64
	// Birth is the home's mark of the account, 0 until the borrower has heard of it.
	Birth    uint64
	Seq      uint64
	Spent    Parts
	Returned Parts
	Want     Parts
	Need     Need
}

// LeaseReply answers a LeaseAsk; Incarnation is the home's.
type LeaseReply struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation uint64
	Items       []LeaseGrant
}

// LeaseGrant is one organisation's part of an answer; Granted is the total over the account's life.
type LeaseGrant struct {
	//lint:ignore U1000 read by msgpack
	_msgpack     struct{} `msgpack:",as_array"`
	Organisation string
	Account      uint64
	Birth        uint64
	Granted      Parts
	// Closed means that the home has no such account any more; the borrower opens another.
	Closed bool
	// Wait is the time until the home has a token, when it lent none.
	Wait time.Duration
}
