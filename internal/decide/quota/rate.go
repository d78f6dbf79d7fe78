package quota

// Rate is what an organisation may send over the whole fleet; a rate of 0 has no limit.
type Rate struct {
	// PerSecond is in requests a second, and Burst in requests.
	PerSecond float64
	Burst     float64
}

// Count is how many requests of an organisation a daemon was asked for and let in since its start.
//
// Counts that only grow can be lost on the way or arrive twice without harm; the next one makes up for it.
type Count struct {
	Requested int64 `msgpack:"asked"`
	Admitted  int64 `msgpack:"admitted"`
}

// Allocation is the collector's word on one organisation.
type Allocation struct {
	// AdmitFraction is the part of the organisation's requests that every daemon lets in, 1 for all.
	AdmitFraction float64 `msgpack:"open"`
	// Demand is what the fleet is asked for, in requests a second.
	Demand float64 `msgpack:"demand"`
}
