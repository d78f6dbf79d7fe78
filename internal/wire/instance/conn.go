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
	reader   *bufio.Reader
	reusable bool
	// begun tells whether a write of the present request reached the kernel.
	begun bool
	idle  time.Time
	// limit is how long the instance keeps the connection idle, 0 if it doesn't say.
	limit time.Duration
}

// Write passes on to the kernel and notes that it did.
func (k *conn) Write(p []byte) (int, error) {
	n, err := k.Conn.Write(p)
	if n > 0 {
		k.begun = true
	}
	return n, err
}

// send writes the request, a large one beside whoever reads the answer; the error arrives on the channel.
//
// An instance may answer an upload before it has read it, or without reading it at all. Written
// first, the upload would wait for room that never comes, and the answer that is there would be lost.
func (k *conn) send(req *http.Request, beside bool) <-chan error {
	k.begun = false
	done := make(chan error, 1)
	write := func() {
		out := bufio.NewWriterSize(k, writeBuffer)
		err := req.Write(out)
		if err == nil {
			err = out.Flush()
		}
		done <- err
	}
	if beside {
		go write()
	} else {
		write()
	}
	return done
}

// writeBuffer holds a usual head and a small body, so that they leave in one write.
const writeBuffer = 4 << 10

// whole reports whether the request was written to its end. A connection on which an answer came before that
// can't be used again: the instance expects the rest of the body where the next request would begin.
func (k *conn) whole(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// unsent returns ErrUnsent if the write failed before any byte was handed to the kernel, else nil.
func (k *conn) unsent(written <-chan error) error {
	_ = k.Close()
	if err := <-written; err != nil && !k.begun {
		return errors.Wrapf(ErrUnsent, "write: %v", err)
	}
	return nil
}

func (k *conn) close() { _ = k.Close() }

// keepAlive notes how long the instance says that it keeps the connection.
func (k *conn) keepAlive(h http.Header, now time.Time) {
	k.idle = now
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			k.limit = time.Duration(seconds) * time.Second
		}
	}
}

// sound reports whether the connection is open and nothing unasked has come on it.
//
// An instance that closed the connection, or sent a second answer, is noticed here for the price of one
// system call; noticed later, a request that may run only once would be lost, or be given another's answer.
func (k *conn) sound() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := k.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peeked == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
