// Package routing holds what operators and instances publish about a service
// mesh: routes, services, organisations and live instances, and how a request
// finds its route.
package routing
