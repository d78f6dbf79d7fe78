package httpd

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNoHandshakeBeginsOnAClosingPort(t *testing.T) {
	// Guards against resetting a caller that connects between the last check of the backlog and the closing of
	// the port, which happens about once in a few shutdowns if callers connect all the time.
	Convey("Once the filter is attached, the kernel accepts no more connections on the port", t, func() {
		l, err := listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		raw, err := l.Listener.(syscall.Conn).SyscallConn()
		So(err, ShouldBeNil)
		So(raw.Control(func(fd uintptr) { err = dropSYN(int(fd)) }), ShouldBeNil)
		So(err, ShouldBeNil)
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		So(c, ShouldBeNil)
		So(err.(net.Error).Timeout(), ShouldBeTrue)
	})
}
