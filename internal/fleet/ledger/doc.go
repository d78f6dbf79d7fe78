// Package ledger remembers idempotency keys, so that a request that its caller sends again is never run twice.
//
// Each key has one holder: the daemon that a rendezvous hash picks among the
// service's hosts. The holder claims the key in its Ledger before it runs the
// request, and answers client retries from the recorded result.
//
// When the host list changes, keys change holders. A History keeps the earlier
// lists on which some hosts may still act, and so names the daemons that may have
// held a key. A new holder recalls the key from those daemons: each replies
// with what it knows and records the transfer of the key to the asking daemon, so that
// it will in turn ask before it runs that request. Evidence collects
// these replies and decides whether no daemon can have run the request. A daemon
// that shuts down hands its records over to others, which inherit them.
package ledger
