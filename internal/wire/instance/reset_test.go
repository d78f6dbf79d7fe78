package instance

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// uploadSize is the size in bytes of a body that doesn't fit into the kernel's buffers, so that it is still being written when its response is read.
const uploadSize = 32 << 20

// resetSeenByWrite is a connection whose reads after the first one begin when a write has failed, so that a reset is reported to the write.
type resetSeenByWrite struct {
	net.Conn
	failed    chan struct{}
	readBegun bool
}

func (c *resetSeenByWrite) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

func (c *resetSeenByWrite) Read(p []byte) (int, error) {
	if c.readBegun {
		<-c.failed
	}
	c.readBegun = true
	return c.Conn.Read(p)
}

// uploadTo sends an upload to an instance that answers as the function does; the write learns of a reset before the reads do if writeFirst is set.
func uploadTo(t *testing.T, writeFirst bool, answer func(c net.Conn, r *bufio.Reader)) (Response, error) {
	instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			answer(c, r)
		}
	})
	client := New(instance.address)
	r := request("1")
	r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", uploadSize))
	cn, err := client.connection(t.Context(), r)
	if err != nil {
		return Response{}, err
	}
	defer cn.close()
	if writeFirst {
		cn = newConn(&resetSeenByWrite{Conn: cn.Conn, failed: make(chan struct{})})
	}
	req, err := r.httpRequest()
	if err != nil {
		return Response{}, err
	}
	return client.exchange(t.Context(), cn, r, req)
}

// TestResetDuringUpload guards against the first part of a body that is passed on as the whole: the instance reset the connection, and the write of the
// upload was told of it, so that reading found the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\npart of the body"
	for _, c := range []struct{ name, response string }{
		{"a body without a length", part},
		{"a body without a length, of HTTP/1.0", strings.Replace(part, "1.1", "1.0", 1)},
		{"a body without a length and an announced close", strings.Replace(part, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)},
		{"an interim response before it", "HTTP/1.1 103 Early Hints\r\n\r\n" + part},
		{"a body shorter than its length", strings.Replace(part, "\r\n\r\n", "\r\nContent-Length: 99\r\n\r\n", 1)},
	} {
		for _, writeFirst := range []bool{true, false} {
			Convey("A response that is reset during the upload is lost: "+c.name, t, func() {
				_, err := uploadTo(t, writeFirst, func(conn net.Conn, _ *bufio.Reader) {
					_, _ = io.WriteString(conn, c.response)
					resetConn(conn)
				})
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				So(IsDisconnect(err), ShouldBeTrue)
			})
		}
	}
	Convey("A response whose length says that it is whole is passed on, although the connection is reset", t, func() {
		res, err := uploadTo(t, true, func(conn net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, response("1", "whole"))
			resetConn(conn)
		})
		So(err, ShouldBeNil)
		So(string(res.Body), ShouldEqual, "whole")
	})
	Convey("A response without a length is passed on if the instance reads the upload before it closes the connection", t, func() {
		res, err := uploadTo(t, false, func(conn net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(conn, part)
			_, _ = io.CopyN(io.Discard, r, uploadSize)
		})
		So(err, ShouldBeNil)
		So(string(res.Body), ShouldEqual, "part of the body")
	})
}
