// Package shed rejects callers' requests at the ingress while a service that they need is saturated, lower-priority
// classes first.
package shed
