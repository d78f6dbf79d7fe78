// Package quota limits the request rate of each organisation over all daemons: a collector keeps one token bucket for
// each organisation, fed by the daemons' reports, and decides which fraction of its requests every daemon admits.
package quota
