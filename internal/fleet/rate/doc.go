// Package rate keeps every organisation within its rate and burst over all hosts together.
//
// A rate and burst are cut into shards. Each shard has one home, found by
// rendezvous hash over the hosts list; a home lends tokens to the daemons
// where callers arrive. Membership decides whether this process may act as a
// home at all, Lender keeps the homes' buckets, and Borrower spends. They have
// no sockets and no threads of their own: inputs are messages and the time.
package rate
