// Package queue orders waiting work: by priority, and within one fairly between organisations by weight.
package queue
