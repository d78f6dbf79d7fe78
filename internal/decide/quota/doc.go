// Package quota limits the request rate of each organisation over all daemons: a collector keeps one token bucket for
// each organisation, fed by the daemons' reports, and decides which fraction of its requests every daemon admits.
//
// Pool is the collector's part and Quota the daemon's. Package rate enforces the rates without a collector, by lending
// tokens; the router uses quota, the daemon of package daemon uses rate.
package quota
