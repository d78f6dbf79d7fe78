//go:build !linux

package httpd

import "net"

// settle does nothing where the kernel can't be told to take no more connections.
func settle(net.Listener) error { return nil }
