// Package graph learns which services the requests of a route need, from the sub-calls that their
// runs make. Daemons observe the sub-calls (package lineage), and a collector merges what they
// report.
package graph
