// Package rate keeps every organisation within its rate and burst over all
// hosts together, without shared state and without a thread of its own.
//
// Each host has a Home, which lends tokens of the shards that fall to it, and a
// Borrower, which spends what homes lent. The embedding program carries their
// messages and tells them the time; whatever is lost, late or doubled on the
// way, no interval sees more than burst + rate × length.
package rate
