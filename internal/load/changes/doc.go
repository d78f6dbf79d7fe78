// Package changes measures how long a change of a list takes to be in force at every daemon of a fleet of real processes, and
// what resources the daemons use for it.
//
// Times of acceptance are read from the daemons' logs, so that the measurement sends the daemons no requests while it runs.
package changes
