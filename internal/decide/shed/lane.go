package shed

import "cmp"

// Rank is the configured precedence of requests, by their organisation and then by their route; 0 has the highest priority.
type Rank struct {
	Organisation int `msgpack:"organisation"`
	Route        int `msgpack:"route"`
}

// Compare orders ranks by priority, the highest first.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Organisation, other.Organisation), cmp.Compare(r.Route, other.Route))
}

// Class is a traffic class: the requests of one route to one of its services at one rank.
type Class struct {
	Route   string `msgpack:"route"`
	Service string `msgpack:"service"`
	Rank    Rank   `msgpack:"rank"`
	// Surplus means that only requests beyond the usual demand of their organisation are in the class; see package shares.
	Surplus bool `msgpack:"surplus,omitempty"`
}

// ArrivalRate is the rate at which a class's requests arrive at a daemon.
type ArrivalRate struct {
	Class     Class   `msgpack:"lane"`
	PerSecond float64 `msgpack:"perSecond"`
}

// Allocation is the fraction of a class that is admitted, as the planner decided it.
type Allocation struct {
	Class         Class   `msgpack:"lane"`
	AdmitFraction float64 `msgpack:"open"`
	// NoRetryFraction is the part of AdmitFraction whose requests get no retries.
	NoRetryFraction float64 `msgpack:"noRetry,omitempty"`
}
