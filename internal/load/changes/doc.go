// Package changes measures how long a change of a list takes to be in force at
// every daemon of a fleet of real processes, and what the daemons spend on control.
//
// Times of acceptance are read from the daemons' logs, so that the measuring
// itself asks the daemons for nothing while it runs.
package changes
