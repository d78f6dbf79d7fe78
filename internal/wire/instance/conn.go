package instance

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// conn is one connection to the instance, used by one request at a time.
type conn struct {
	net.Conn
	reader   headReader
	writer   *bufio.Writer
	reusable bool
	// sent is the current request.
	sent *sending
	// writeBegun reports whether any byte of the current request was written to the kernel, and writeErr why no more were.
	writeBegun bool
	writeErr   error
	idleSince  time.Time
	// idleTimeout is how long the instance keeps the connection open while idle, 0 if it did not state it.
	idleTimeout time.Duration
	// used holds the ids of the requests that were answered on the connection.
	used recentIDs
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: newHeadReader(c), writer: bufio.NewWriterSize(nil, writeBufferSize)}
}

// Write writes to the connection and records that it did. The error is recorded too, since net/http returns one that doesn't lead back to it.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	if n > 0 {
		cn.writeBegun = true
	}
	cn.writeErr = err
	return n, err
}

// send writes the request, in a goroutine of its own if concurrently is set; cn.sent has the result.
//
// An instance may respond to an upload before it has read it, or without reading it at all. If the upload had to be
// written first, the write would block on full buffers, and the response that has already arrived would be lost.
func (cn *conn) send(req *http.Request, concurrently bool) {
	cn.writeBegun, cn.writeErr = false, nil
	sent := &sending{done: make(chan struct{})}
	cn.sent = sent
	write := func() {
		defer close(sent.done)
		cn.writer.Reset(cn)
		sent.err = req.Write(cn.writer)
		if sent.err == nil {
			sent.err = cn.writer.Flush()
		}
		if cn.writeErr != nil {
			sent.err = cn.writeErr
		}
	}
	if concurrently {
		go write()
	} else {
		write()
	}
}

// writeBufferSize in bytes holds a usual header and a small body, so that they are sent in one write.
const writeBufferSize = 4 << 10

// sending is a request that is being written.
type sending struct {
	// done is closed when the write has ended, and err is its result.
	done chan struct{}
	err  error
}

// isWhole reports whether the request was written completely. A connection on which the response arrived earlier
// can't be reused: the instance expects the rest of the body where the next request would begin.
func (s *sending) isWhole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// await waits until the write has ended, by the request's deadline at the latest. Its error tells of a reset that reading didn't report: the kernel
// reports one to a single system call, and to all others it looks as if the instance had closed the connection normally.
func (s *sending) await() error {
	<-s.done
	return errors.Wrap(s.err, "the connection ended before the request was written")
}

// unsentError closes the connection and returns ErrUnsent if the write failed before any byte reached the kernel, else nil.
func (cn *conn) unsentError() error {
	_ = cn.Close()
	<-cn.sent.done
	if err := cn.sent.err; err != nil && !cn.writeBegun {
		return errors.Wrapf(ErrUnsent, "write: %v", err)
	}
	return nil
}

func (cn *conn) close() { _ = cn.Close() }

// recordIdleTimeout starts the connection's idle time and records the idle timeout that the instance states in Keep-Alive.
func (cn *conn) recordIdleTimeout(h http.Header, now time.Time) {
	cn.idleSince = now
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			cn.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// isOpenAndEmpty reports whether the connection is open and has no unread data.
//
// This detects, for one system call, that the instance closed the connection or sent a second response. If it were
// detected only later, a request that is not idempotent would be lost, or get the response to another request.
func (cn *conn) isOpenAndEmpty() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothingReceived := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingReceived = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && nothingReceived
}
