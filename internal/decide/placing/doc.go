// Package placing chooses the host that runs a request, for the daemon of package daemon. The router picks instances
// with package choice instead.
package placing
