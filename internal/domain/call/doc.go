// Package call holds the types of one request on its way through the fleet:
// what came in, what came back and why.
package call
