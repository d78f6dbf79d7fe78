// Package rate limits every organisation to its rate and burst across all
// hosts, without shared state and without goroutines of its own.
//
// Each host has a Home, which owns rate shards and lends their tokens, and a
// Borrower, which spends the tokens that homes lent. The embedding program
// carries their messages and passes in the time. Even if messages are lost,
// late or duplicated, no interval admits more than burst + rate × length.
package rate
