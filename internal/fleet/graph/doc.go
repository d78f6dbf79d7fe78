// Package graph learns which services the requests of a route need, from the sub-calls that their runs make.
package graph
