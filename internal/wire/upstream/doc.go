// Package upstream is the HTTP client that runs requests on the upstream on the daemon's host, for
// package daemon. The router uses package instance.
package upstream
