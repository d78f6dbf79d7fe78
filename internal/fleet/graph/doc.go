// Package graph learns which services the requests of a route need, from the
// calls that their runs make.
package graph
