// Package queue orders the requests that wait for a slot of one upstream. It decides only the order; package admission
// decides who may wait and for how long.
package queue
