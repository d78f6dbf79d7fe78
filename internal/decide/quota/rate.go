package quota

import "time"

// RateLimit is an organisation's rate limit over the whole fleet; a PerSecond of 0 means no limit.
type RateLimit struct {
	// PerSecond is in requests per second, and Burst in requests.
	PerSecond float64
	Burst     float64
}

// Count is the number of an organisation's requests that a daemon received and admitted since its start.
//
// The counts only grow, so a lost or repeated report does no harm: the next one makes up for it.
type Count struct {
	Requested int64 `msgpack:"asked"`
	Admitted  int64 `msgpack:"admitted"`
	// Share is the daemon's share of the fleet's demand as of its last allocation, in units of 1/shareUnits.
	Share uint16 `msgpack:"share,omitempty"`
	// Overdraft is the number of requests beyond the daemon's share that it has admitted since its last allocation. A collector that receives its first
	// report from this daemon takes them off the bucket: Admitted is a total since the start, from which it can't tell what is recent.
	Overdraft uint16 `msgpack:"overdraft,omitempty"`
}

// shareUnits is the number of units of Count.Share in the whole demand: small enough for two bytes on the wire, and fine enough for a
// thousand daemons.
const shareUnits = 10000

// Allocation is the collector's decision for one organisation.
type Allocation struct {
	// AdmitFraction is the fraction of the organisation's requests that every daemon admits.
	AdmitFraction float64 `msgpack:"open"`
	// Demand is the fleet's demand in requests per second.
	Demand float64 `msgpack:"demand"`
	// Reserved is the part of the rate that daemons without this collector may use by their own shares, 0 to 1.
	Reserved float64 `msgpack:"reserved,omitempty"`
	// Backlog is how long the rate takes to serve the refused callers that are expected to return.
	Backlog time.Duration `msgpack:"backlog,omitempty"`
}
