package httpd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
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

// outcomes counts what callers met.
type outcomes struct {
	whole, wrong, broken, refused, lost atomic.Int64
	ran                                 sync.Map
}

func (o *outcomes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.ran.Store(r.URL.Path, true)
	_, _ = io.WriteString(w, r.URL.Path)
}

// call connects, sends one request and records what comes back; false means that the port is closed.
func (o *outcomes) call(address, path string) bool {
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		o.refused.Add(1)
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	_, _ = io.WriteString(conn, requests(path))
	res, raw, err := readWhole(bufio.NewReader(conn), http.MethodGet)
	_, ran := o.ran.Load(path)
	switch {
	case err != nil && ran:
		o.lost.Add(1)
	case err != nil:
		o.broken.Add(1)
	case res.StatusCode != http.StatusOK || string(raw) != path:
		o.wrong.Add(1)
	default:
		o.whole.Add(1)
	}
	return true
}

func TestStopWithoutTheFilter(t *testing.T) {
	// Guards against a wrong response, or the loss of one to a request that ran, for callers that connect while the server stops
	// on a machine that refuses the socket filter, and against hiding that.
	attachFilter = func(int) error { return unix.EPERM }
	defer func() { attachFilter = dropSYN }()
	Convey("Each caller gets its own whole response or none, only requests that didn't run get none, and the stop reports the error", t, func() {
		o := &outcomes{}
		s, stop := startStoppable(t, o.ServeHTTP)
		var all sync.WaitGroup
		for caller := range 20 {
			all.Go(func() {
				for n := 0; o.call(s.address.String(), fmt.Sprintf("/%d/%d", caller, n)); n++ {
				}
			})
		}
		for o.whole.Load() < 100 {
			time.Sleep(time.Millisecond)
		}
		err := <-stop()
		all.Wait()
		t.Logf("whole %d, broken %d, refused %d", o.whole.Load(), o.broken.Load(), o.refused.Load())
		So(errors.Is(err, unix.EPERM), ShouldBeTrue)
		So(o.wrong.Load(), ShouldEqual, 0)
		So(o.lost.Load(), ShouldEqual, 0)
	})
}
