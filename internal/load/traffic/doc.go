// Package traffic sends mixed requests to a fleet and checks every response.
package traffic
