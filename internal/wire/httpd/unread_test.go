package httpd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnreadResponsesStayWhereTheyAre guards against a daemon that copies each large response into the queue of a connection whose caller doesn't read, and
// goes beyond its memory: nothing bounded what all connections together had there.
func TestUnreadResponsesStayWhereTheyAre(t *testing.T) {
	const callers, size = 8, 24 << 20
	large := bytes.Repeat([]byte("v"), size)
	ended := make(chan struct{}, callers)
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		_, _ = w.Write(large)
		ended <- struct{}{}
	})
	Convey("Each connection queues little of it, and all of it arrives when it is read", t, func() {
		var readers []*bufio.Reader
		for range callers {
			conn := dial(s)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			readers = append(readers, bufio.NewReader(conn))
		}
		for _, in := range readers {
			_, err := in.Peek(1)
			So(err, ShouldBeNil)
		}
		time.Sleep(100 * time.Millisecond)
		So(s.unsent.Load(), ShouldBeLessThanOrEqualTo, callers*(maxQueuedBytes+maxWrite))
		So(ended, ShouldBeEmpty)
		for _, in := range readers {
			res, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			n, err := io.Copy(io.Discard, res.Body)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, size)
			<-ended
		}
		So(allSent(s), ShouldBeTrue)
	})
	Convey("A response that isn't read in time, or whose caller leaves, ends", t, func() {
		late := dial(s)
		defer func() { _ = late.Close() }()
		_, _ = io.WriteString(late, "GET /short HTTP/1.1\r\nHost: x\r\n\r\n")
		<-ended
		_, err := io.Copy(io.Discard, late)
		So(err, ShouldBeNil)
		left := dial(s)
		_, _ = io.WriteString(left, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err = bufio.NewReader(left).Peek(1)
		So(err, ShouldBeNil)
		_ = left.Close()
		<-ended
		So(allSent(s), ShouldBeTrue)
	})
}

// allSent reports whether the server's connections soon have nothing unsent.
func allSent(s *Server) bool {
	for end := time.Now().Add(10 * time.Second); s.unsent.Load() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	return s.unsent.Load() == 0
}

// TestRefusedUploadIsTold guards against a connection that is reset while its caller still sends a large body that was refused: the caller can't know that
// the request wasn't run.
func TestRefusedUploadIsTold(t *testing.T) {
	s, _ := startStoppable(t, func(http.ResponseWriter, *http.Request) {}, WithHeldBytes(1<<20))
	Convey("A caller that reads only when it has sent everything reads the refusal", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		const parts = 16
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", parts<<20)
		So(err, ShouldBeNil)
		for range parts {
			time.Sleep(3 * lingerTime / parts)
			_, err := conn.Write(make([]byte, 1<<20))
			So(err, ShouldBeNil)
		}
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(res.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
	})
}
