package collect

import (
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// Heartbeat is the periodic message of a daemon to its collector, or of a group's collector to the fleet's collector.
type Heartbeat struct {
	From netip.AddrPort `msgpack:"from"`
	// Version is that of the sender's configuration, Revision that of the instances that it knows.
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
	// StoreAge is the age of the sender's information from the configuration store, without what its own collector has reported.
	StoreAge time.Duration `msgpack:"storeAge"`
	// Group means that a collector reports on behalf of its group.
	Group bool `msgpack:"group"`
	// CountedFor is how long the sender has been counting, Counts the requests received and admitted in that time, by organisation.
	CountedFor time.Duration          `msgpack:"up"`
	Counts     map[string]quota.Count `msgpack:"counts"`
	Report     demand.Report          `msgpack:"report"`
	// Work is what instances have done since the last heartbeat, by service.
	Work map[string]Work `msgpack:"work"`
	// Calls has the sub-calls per run of the instance, by route.
	Calls graph.Edges `msgpack:"calls"`
	// CertainlyCalled has the routes whose callers are certain.
	CertainlyCalled []string `msgpack:"certainlyCalled"`
	// Leaving has the hosts whose daemons are shutting down.
	Leaving []netip.Addr `msgpack:"leaving"`
	// LeavingInstances has the instances whose responses say that they are about to end.
	LeavingInstances []routing.Incarnation `msgpack:"leavingInstances"`
	// Missing has the hosts of the group whose heartbeats are missing.
	Missing []netip.Addr `msgpack:"silent"`
	// Reporters has the hosts whose daemons sent heartbeats to the sender because they could not reach the collector.
	Reporters []netip.Addr `msgpack:"heard"`
}

// Work is what instances of a service have done over some period.
type Work struct {
	// HoldTimes says how long requests have held slots, by route.
	HoldTimes []allot.HoldTime `msgpack:"held"`
	// Delivered counts the requests that reached an instance, Retryable those of them that must be retried.
	Delivered int `msgpack:"seen"`
	Retryable int `msgpack:"wasted"`
}

// Reply is a collector's reply to a heartbeat.
type Reply struct {
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
	Plan     Plan   `msgpack:"word"`
	// StoreAge is the age of the collector's latest information from the configuration store.
	StoreAge time.Duration `msgpack:"storeAge"`
	// Grants are the retry rates granted to the daemon, in retries a second by service.
	Grants map[string]float64 `msgpack:"grants"`
	// Leaving has the hosts whose daemons are shutting down, Missing those whose heartbeats are missing.
	Leaving []netip.Addr `msgpack:"leaving"`
	Missing []netip.Addr `msgpack:"silent"`
	// LeavingInstances has the instances that are about to end.
	LeavingInstances []routing.Incarnation `msgpack:"leavingInstances"`
}

// Plan is what a collector has decided, based on the reports of Daemons daemons.
type Plan struct {
	Daemons int `msgpack:"daemons"`
	// Age is the plan's age when it was relayed; 0 for a collector's own plan.
	Age time.Duration `msgpack:"age"`
	// Rates has the allocations of the organisations that are above their rate limit and of those that the heartbeat named. They are valid
	// only if Settled, which means that the collector has a configuration and has received the demand of all daemons.
	Rates   map[string]quota.Allocation `msgpack:"rates"`
	Settled bool                        `msgpack:"settled"`
	// Allocations has the classes that can't be admitted in full.
	Allocations []shed.Allocation `msgpack:"parts"`
	// Surges has the organisations that send far more than usual, and Surplus what is admitted of their surplus, by class. Both are empty
	// while the plan admits everything.
	Surges  []shares.Surge    `msgpack:"surges,omitempty"`
	Surplus []shed.Allocation `msgpack:"surplus,omitempty"`
}
