// Package routing defines what operators and instances publish about a service
// mesh (routes, services, organisations and live instances), and matches
// requests to routes.
package routing
