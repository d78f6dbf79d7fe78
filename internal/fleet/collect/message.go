package collect

import (
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// Heartbeat tells a collector what a daemon knows and sees, or a group's collector what its group does.
type Heartbeat struct {
	From netip.AddrPort `msgpack:"from"`
	// Version and Revision are those of the configuration and the instances that the sender knows.
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
	// StoreAge is how long ago the sender itself heard from the store.
	StoreAge time.Duration `msgpack:"storeAge"`
	// Group means that a collector speaks for its group.
	Group bool `msgpack:"group"`
	// Up is for how long the sender has been counting, and Counts what was asked for and let in since then, by organisation.
	Up     time.Duration          `msgpack:"up"`
	Counts map[string]quota.Count `msgpack:"counts"`
	Report demand.Report          `msgpack:"report"`
	// Work is what instances have done since the last beat, by service.
	Work map[string]Work `msgpack:"work"`
	// Calls is what the instance's runs call.
	Calls graph.Edges `msgpack:"calls"`
	// Leaving are the hosts whose daemons are about to end.
	Leaving []netip.Addr `msgpack:"leaving"`
	// Missing are the hosts of the group whose daemons don't tell of themselves any more.
	Missing []netip.Addr `msgpack:"silent"`
	// Heard are the hosts whose daemons have told the sender of themselves, since they did not reach the collector.
	Heard []netip.Addr `msgpack:"heard"`
}

// Work is what instances of a service have done over some time.
type Work struct {
	// HoldTimes is for how long requests have held slots.
	HoldTimes []allot.HoldTime `msgpack:"held"`
	// Delivered is how many requests have reached an instance, and Retryable how many of them have to be sent again.
	Delivered int `msgpack:"seen"`
	Retryable int `msgpack:"wasted"`
}

// Reply is the answer to a beat.
type Reply struct {
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
	Plan     Plan   `msgpack:"word"`
	// StoreAge is how long ago the collector heard from the store.
	StoreAge time.Duration `msgpack:"storeAge"`
	// Grants are what the daemon may send once more to each service, in repeats a second.
	Grants map[string]float64 `msgpack:"grants"`
	// Leaving are the hosts whose daemons are about to end, and Missing those whose daemons don't tell of themselves any more.
	Leaving []netip.Addr `msgpack:"leaving"`
	Missing []netip.Addr `msgpack:"silent"`
}

// Plan is what a collector has worked out from what so many daemons have told.
type Plan struct {
	Daemons int `msgpack:"daemons"`
	// Age is how old the word was when it was passed on.
	Age time.Duration `msgpack:"age"`
	// Rates are the organisations that are over their rate, and those that were named; they count only where Settled tells
	// that the collector has heard of all demand.
	Rates   map[string]quota.Allocation `msgpack:"rates"`
	Settled bool                        `msgpack:"settled"`
	// Allocations are the lanes of which not all can be done.
	Allocations []shed.Allocation `msgpack:"parts"`
}
