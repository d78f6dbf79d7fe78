// Package placing chooses the host that runs a request.
package placing
