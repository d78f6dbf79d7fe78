package httpd

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNoHandshakeBeginsOnAClosingPort(t *testing.T) {
	// A caller connects after the daemon has looked at its backlog for the last
	// time and before the port is closed. It is connected, and then reset: about
	// one connection in a few shutdowns when callers connect without pause.
	Convey("Once the port is to be closed, the kernel takes no more connections for it", t, func() {
		l, err := listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		raw, err := l.Listener.(syscall.Conn).SyscallConn()
		So(err, ShouldBeNil)
		So(raw.Control(func(fd uintptr) { err = dropSyn(int(fd)) }), ShouldBeNil)
		So(err, ShouldBeNil)
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		So(c, ShouldBeNil)
		So(err.(net.Error).Timeout(), ShouldBeTrue)
	})
}
