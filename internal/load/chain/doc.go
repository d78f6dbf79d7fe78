// Package chain runs the decisions under load over one model of a service chain, in virtual time.
//
// It is an experiment to compare choices, not a simulator of clusters: instances
// have slots and a queue inside, the network is a constant delay, and callers retry hard.
package chain
