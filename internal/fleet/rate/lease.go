package rate

import "time"

// LeaseAsk asks a home for tokens of several organisations and settles earlier loans.
type LeaseAsk struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Borrower    string
	Incarnation uint64
	Items       []LeaseItem
}

//go:generate stringer -type=Need -linecomment

// Need is the purpose of a lease request.
type Need uint8

// The needs; each is granted more than the one before.
const (
	// Ahead asks for tokens in stock, for requests that may arrive.
	Ahead Need = iota // ahead
	// Waiting asks for whole tokens, for requests that wait for the reply.
	Waiting // waiting
	// Gathering asks for fractions of tokens too, after no home had a whole one.
	Gathering // gathering
)

// LeaseItem is the part of a lease request for one organisation. Spent and Returned are
// totals over the account's lifetime: the message after a lost one makes up for it, and a
// duplicate or late one changes nothing.
type LeaseItem struct {
	//lint:ignore U1000 read by msgpack
	_msgpack     struct{} `msgpack:",as_array"`
	Organisation string
	Account      uint64
	// Birth identifies the account at the home; it is 0 until the borrower has received it from there.
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

// LeaseGrant is the part of a lease reply for one organisation; Granted is the total over the account's lifetime.
type LeaseGrant struct {
	//lint:ignore U1000 read by msgpack
	_msgpack     struct{} `msgpack:",as_array"`
	Organisation string
	Account      uint64
	Birth        uint64
	Granted      Parts
	// Closed means that the home no longer has the account; the borrower opens another.
	Closed bool
	// Wait is the time until the home has a whole token.
	Wait time.Duration
}
