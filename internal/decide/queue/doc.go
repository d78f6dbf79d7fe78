// Package queue orders the requests that wait for a slot of one upstream.
package queue
