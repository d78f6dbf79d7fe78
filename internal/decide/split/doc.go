// Package split divides the requests of a route among services in proportion to their weights.
package split
