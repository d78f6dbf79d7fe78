package shed

import "cmp"

// Rank orders requests, 0 first: by their organisation, and within one by their route.
type Rank struct {
	Organisation int `msgpack:"organisation"`
	Route        int `msgpack:"route"`
}

// Compare orders ranks, the one that goes first before the others.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Organisation, other.Organisation), cmp.Compare(r.Route, other.Route))
}

// Class is the requests of a route to one of its services with one rank.
type Class struct {
	Route   string `msgpack:"route"`
	Service string `msgpack:"service"`
	Rank    Rank   `msgpack:"rank"`
}

// Rate is how many requests a second a daemon is asked for in a lane.
type Rate struct {
	Class     Class   `msgpack:"lane"`
	PerSecond float64 `msgpack:"perSecond"`
}

// Allocation is the part of a lane's requests that is begun.
type Allocation struct {
	Class         Class   `msgpack:"lane"`
	AdmitFraction float64 `msgpack:"open"`
}
