// Package collect aggregates the reports of all daemons and replies to each heartbeat with a plan,
// the admitted fractions of traffic classes (package allot) and of organisations' requests (package
// quota), and with grants of retries (package repeats).
//
// Daemons send heartbeats to a collector, which is one of them; in a large fleet each group of
// daemons has its own collector, and these send heartbeats to the fleet's collector. No state is
// persisted and no consensus is needed: all daemons compute the collectors from the same host list.
package collect
