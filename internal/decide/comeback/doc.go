// Package comeback spreads the Retry-After delays of refused requests, so that their callers don't all retry at the
// same time.
package comeback
