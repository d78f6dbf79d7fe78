// Package demand sums the demand that all daemons receive and the capacity of their instances.
// Package collect feeds it with the reports in heartbeats and plans by its sums.
package demand
