// Package upstream is the HTTP client that runs requests on the upstream on the daemon's host.
package upstream
