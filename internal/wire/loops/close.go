package loops

import (
	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Close closes a connection so that its other end learns it at once.
//
// Closing the descriptor alone isn't enough on Linux: while the loop asks the kernel what has arrived, the kernel holds the socket, and drops it only when
// the loop's system call returns, with the next event of any other connection.
func Close(c *nbio.Conn) error {
	shutdown(c)
	return c.Close()
}

// shutdown ends both directions of a connection that is open. The lock keeps its descriptor from being closed, and used again, in the meantime.
func shutdown(c *nbio.Conn) {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); !closed {
		_ = unix.Shutdown(c.Hash(), unix.SHUT_RDWR)
	}
}
