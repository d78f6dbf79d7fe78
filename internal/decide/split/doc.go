// Package split shares the requests of a route among services in the proportions of their weights.
package split
