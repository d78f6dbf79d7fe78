// Package quota holds each organisation to its rate over all daemons, with
// nothing but small counters between them.
package quota
