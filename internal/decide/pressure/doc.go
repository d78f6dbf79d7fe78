// Package pressure propagates the overload of services deep in the call chain back to the ingress daemon, the one that
// takes the caller's request: there throttles reject requests that would fail deeper. Each daemon decides by the
// responses that it received, without a collector; package shed does the same task by a fleet-wide plan.
package pressure
