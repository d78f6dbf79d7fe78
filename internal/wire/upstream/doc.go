// Package upstream runs requests on the upstream beside the daemon over HTTP.
package upstream
