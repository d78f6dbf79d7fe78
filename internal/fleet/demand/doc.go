// Package demand sums the demand that all daemons receive and the capacity of their instances.
package demand
