// Package ledger remembers idempotency keys, so that a repeat by the caller never runs a request again.
package ledger
