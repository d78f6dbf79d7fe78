// Package rate keeps every organisation within its rate and burst over all hosts together.
//
// Each organisation's rate and burst are divided into shards. A shard is owned by
// one member of the host list, its home, found by rendezvous hashing. A home keeps a
// token bucket for its shards of an organisation and lends tokens from it; daemons
// that receive the organisation's requests are borrowers. A loan lasts for a short
// time (Limits.Loan); after it the borrower spends no more of its tokens, and the
// home counts those not returned as spent.
//
// When the host list changes, a shard may get another home. The old home may still
// use an older list, so the new one may lend the shard's tokens only after the old
// home has stated that it knows the newer list or that it has given up its shards,
// or, if it can't be reached, after the fence (Limits.Fence), counted from when a
// quorum of the members is known to have the newer list. A home in turn lends
// only while a quorum of the members has confirmed its list within the last tenure
// (Limits.Tenure), which is shorter than the fence, so a partitioned home stops
// lending before its successor starts.
//
// Membership decides whether this process may act as a home and for which shards,
// Lender keeps the buckets and lends, Home joins both, and Borrower spends. They use
// no sockets and start no goroutines: their inputs are messages and the time.
package rate
