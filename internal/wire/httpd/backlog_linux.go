package httpd

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	backlogPollInterval = 5 * time.Millisecond
)

// drainBacklog prevents new handshakes and waits until the connections in the
// backlog are accepted.
//
// Closing a port resets the connections in its backlog. Their callers are
// connected already and may have sent requests; on a reset they can't know
// whether a request ran. A filter that drops SYN packets lets handshakes in
// progress complete; later callers resend their SYN and find the port closed.
func drainBacklog(ctx context.Context, l net.Listener) error {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "http: close port")
	}
	var filterErr error
	_ = raw.Control(func(fd uintptr) { filterErr = attachFilter(int(fd)) })
	start := time.Now()
	for time.Since(start) < MaxBacklogTime {
		time.Sleep(backlogPollInterval)
		waiting := false
		_ = raw.Control(func(fd uintptr) { waiting = hasBacklog(int(fd)) })
		if (!waiting || ctx.Err() != nil) && time.Since(start) >= minBacklogTime {
			break
		}
	}
	return errors.Wrap(filterErr, "http: close port to new connections")
}

const (
	// flagsOffset is the offset of the flags in a TCP header, in bytes.
	flagsOffset = 13
	// synFlag is set in the packets that open a connection.
	synFlag = 0x02
	// acceptedLength is how many bytes of an accepted packet the filter keeps: more than any packet has.
	acceptedLength = 1 << 18
)

// attachFilter is dropSYN; some machines refuse socket filters.
var attachFilter = dropSYN

// dropSYN attaches a filter to the socket that drops SYN packets.
func dropSYN(fd int) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptedLength},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// hasBacklog reports whether a connection waits to be accepted.
func hasBacklog(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
