package rate

import "time"

// LeaseAsk asks a home for tokens of several organisations and settles what was lent before.
type LeaseAsk struct {
	Borrower    string      `msgpack:"borrower"`
	Incarnation uint64      `msgpack:"incarnation"`
	Items       []LeaseItem `msgpack:"items"`
}

// LeaseItem is one organisation's part of a question. Spent and Returned are
// totals over the account's life: a lost message is made good by the next
// one, a doubled or late one changes nothing.
type LeaseItem struct {
	Organisation string `msgpack:"organisation"`
	Account      uint64 `msgpack:"account"`
	// Birth is the home's mark of the account, 0 until the borrower has heard of it.
	Birth    uint64 `msgpack:"birth"`
	Seq      uint64 `msgpack:"seq"`
	Spent    int    `msgpack:"spent"`
	Returned int    `msgpack:"returned"`
	Want     int    `msgpack:"want"`
	// Urgent is set when a request waits for the answer.
	Urgent bool `msgpack:"urgent"`
}

// LeaseReply answers a LeaseAsk; Incarnation is the home's.
type LeaseReply struct {
	Incarnation uint64       `msgpack:"incarnation"`
	Items       []LeaseGrant `msgpack:"items"`
}

// LeaseGrant is one organisation's part of an answer; Granted is the total over the account's life.
type LeaseGrant struct {
	Organisation string `msgpack:"organisation"`
	Account      uint64 `msgpack:"account"`
	Birth        uint64 `msgpack:"birth"`
	Granted      int    `msgpack:"granted"`
	// Closed means that the home has no such account any more; the borrower opens another.
	Closed bool `msgpack:"closed"`
	// Wait is the time until the home has a token, when it lent none.
	Wait time.Duration `msgpack:"wait"`
}
