// Package pressure propagates the overload of services deep in the call chain back to the ingress, which rejects requests that would
// fail there.
package pressure
