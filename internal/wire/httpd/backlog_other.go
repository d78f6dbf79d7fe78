//go:build !linux

package httpd

import (
	"context"
	"net"
)

// drainBacklog does nothing: on this platform the kernel can't be made to refuse new connections before the port closes.
func drainBacklog(context.Context, net.Listener) error { return nil }
