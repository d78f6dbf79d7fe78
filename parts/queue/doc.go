// Package queue orders waiting requests by priority, and within one priority fairly between organisations by weight.
package queue
