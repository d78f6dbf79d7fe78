package instance

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// lostError is an ErrLost with its cause.
type lostError struct{ cause error }

// Error implements error.
func (e *lostError) Error() string { return e.cause.Error() + ": " + ErrLost.Error() }

// Is reports that the error is an ErrLost.
func (e *lostError) Is(target error) bool { return target == ErrLost }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.cause }

// IsDisconnect reports whether the response was lost because the connection ended, as it does when the instance crashes.
func IsDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return errors.Is(err, ErrLost)
		}
	}
	return false
}

// Refuses opens a connection to the instance, and reports whether it was refused: no process listens at the address any more.
func (c *Client) Refuses(ctx context.Context) bool {
	c.opened.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	tcpConn, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = tcpConn.Close()
	return false
}
