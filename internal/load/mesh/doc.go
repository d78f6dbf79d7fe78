// Package mesh simulates, in virtual time, a fleet of services that call each other, with a daemon on the host of each
// instance. The daemons use the decision packages of the real daemon.
package mesh
