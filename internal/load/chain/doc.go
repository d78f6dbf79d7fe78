// Package chain simulates a chain of services in virtual time, with the decision packages of the daemon.
//
// It compares policies and is no full simulator of clusters: instances have slots and an internal queue, the network delay is
// constant, and callers retry aggressively.
package chain
