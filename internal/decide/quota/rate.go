package quota

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
}

// Allocation is the collector's decision for one organisation.
type Allocation struct {
	// AdmitFraction is the fraction of the organisation's requests that every daemon admits.
	AdmitFraction float64 `msgpack:"open"`
	// Demand is the fleet's demand in requests per second.
	Demand float64 `msgpack:"demand"`
}
