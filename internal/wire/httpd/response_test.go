package httpd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// nextBody is the body of the response that follows the one under test on its connection.
const nextBody = "next"

// beforeNext answers a request for /next with nextBody, and passes others to the handler.
func beforeNext(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/next" {
			_, _ = io.WriteString(w, nextBody)
			return
		}
		handler(w, r)
	}
}

// nextRequests are two requests for /next: bytes after the first response would be read as the second.
var nextRequests = requests("/next", "/next")

func TestEveryStatusIsSentAsDecided(t *testing.T) {
	// Guards against a failure that is sent as a success: a status without a reason phrase in net/http became 200.
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(r.URL.Path[1:])
		w.Header().Set("X-Handler", "set")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	})
	Convey("The caller reads the status that was decided, or 500 if no response can have it, and nothing follows", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		read := map[int]int{}
		wanted := map[int]int{}
		for status := range 1100 {
			pipelineRequests(conn, fmt.Sprintf("/%d", status))
			res, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			raw, err := io.ReadAll(res.Body)
			So(err, ShouldBeNil)
			want, header, body := status, "set", "body"
			switch {
			case status < 200 || status > 999:
				want, header, body = http.StatusInternalServerError, "", ""
			case status == http.StatusNoContent || status == http.StatusNotModified:
				body = ""
			}
			read[status], wanted[status] = res.StatusCode, want
			So(res.Header.Get("X-Handler"), ShouldEqual, header)
			So(string(raw), ShouldEqual, body)
		}
		So(read, ShouldResemble, wanted)
		So(in.Buffered(), ShouldEqual, 0)
	})
}

func TestResponsesThatHandlersGetWrong(t *testing.T) {
	// Guards against a response that looks complete and isn't what the handler decided, and against bytes of it that are
	// read as the next response.
	var writeErr error
	write := func(w http.ResponseWriter, body string) { _, writeErr = io.WriteString(w, body) }
	// cut means that the connection ends without a complete response.
	const cut = 0
	cases := []struct {
		name    string
		method  string
		handler http.HandlerFunc
		status  int
		body    string
		err     error
	}{
		{"nothing", "GET", func(http.ResponseWriter, *http.Request) {}, 500, "", nil},
		{"only headers", "GET", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Handler", "set") }, 500, "", nil},
		{"an empty part", "GET", func(w http.ResponseWriter, _ *http.Request) { write(w, "") }, 500, "", nil},
		{"an informational status", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Handler", "set")
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusOK)
			write(w, "late")
		}, 500, "", errInvalidStatus},
		{"two statuses", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTeapot)
			w.WriteHeader(http.StatusOK)
			write(w, "body")
		}, 418, "body", nil},
		{"a body for HEAD", "HEAD", func(w http.ResponseWriter, _ *http.Request) { write(w, "body") }, 200, "", nil},
		{"a length and a body for HEAD", "HEAD", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			write(w, "body")
		}, 200, "", nil},
		{"a body with 204", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			w.WriteHeader(http.StatusNoContent)
			write(w, "body")
		}, 204, "", http.ErrBodyNotAllowed},
		{"a body with 304", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			w.WriteHeader(http.StatusNotModified)
			write(w, "body")
		}, 304, "", http.ErrBodyNotAllowed},
		{"less than stated", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			write(w, "body")
		}, cut, "", nil},
		{"much less than stated", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(4*maxBuffered))
			write(w, strings.Repeat("b", 3*maxBuffered))
		}, cut, "", nil},
		{"no body though one is stated", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			w.WriteHeader(http.StatusOK)
		}, cut, "", nil},
		{"more than stated", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			write(w, "body")
			write(w, "more")
		}, 200, "body", http.ErrContentLength},
		{"a part too much and one that fits", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "6")
			write(w, "body")
			write(w, "more")
			write(w, "dy")
		}, cut, "", nil},
		{"more than none", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "0")
			write(w, "more")
		}, 200, "", http.ErrContentLength},
		{"two lengths", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["Content-Length"] = []string{"3", "4"}
			write(w, "body")
		}, 200, "body", nil},
		{"a length that is none", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "-4")
			write(w, "body")
		}, 200, "body", nil},
		{"headers about the framing", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["content-length"] = []string{"1"}
			w.Header()["transfer-encoding"] = []string{"chunked"}
			w.Header().Set("Transfer-Encoding", "chunked")
			w.Header().Set("Connection", "close")
			write(w, "body")
		}, 200, "body", nil},
		{"line ends in headers", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Lines", "a\r\nContent-Length: 1\n\r\n\r\nHTTP/1.1 200 OK")
			w.Header()["X-Name: b\r\n\r\n"] = []string{"c"}
			write(w, "body")
		}, 200, "body", nil},
	}
	Convey("The caller reads a whole response or none, and the next one is whole", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				writeErr = nil
				s, _ := startStoppable(t, beforeNext(c.handler))
				conn := dial(s)
				defer func() { _ = conn.Close() }()
				_, err := fmt.Fprintf(conn, "%s / HTTP/1.1\r\nHost: x\r\n\r\n", c.method)
				So(err, ShouldBeNil)
				in := bufio.NewReader(conn)
				if c.status == cut {
					So(readCut(s, conn, c.method), ShouldBeNil)
					return
				}
				res, raw, err := readWhole(in, c.method)
				So(err, ShouldBeNil)
				So(res.StatusCode, ShouldEqual, c.status)
				So(res.Close, ShouldBeFalse)
				So(res.TransferEncoding, ShouldBeEmpty)
				So(string(raw), ShouldEqual, c.body)
				So(res.Header.Get("X-Handler"), ShouldBeEmpty)
				So(writeErr, ShouldEqual, c.err)
				So(in.Buffered(), ShouldEqual, 0)
				_, err = io.WriteString(conn, nextRequests)
				So(err, ShouldBeNil)
				So(readNext(in), ShouldBeNil)
			})
		}
	})
}

// readWhole reads a response and its body; a response that is cut off is an error.
func readWhole(in *bufio.Reader, method string) (*http.Response, []byte, error) {
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	raw, err := io.ReadAll(res.Body)
	return res, raw, err
}

// readCut checks that the server closes the connection, and that no whole response was sent on it.
//
// A close while epoll looks at the socket reaches the caller only with the poller's next event, so the end itself isn't awaited.
func readCut(s *Server, conn net.Conn, method string) error {
	for s.connectionCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	res, raw, err := readWhole(bufio.NewReader(conn), method)
	if err == nil {
		return fmt.Errorf("%d with %d bytes looks whole", res.StatusCode, len(raw))
	}
	return nil
}

// readNext checks that the responses to nextRequests come next and that nothing follows them.
func readNext(in *bufio.Reader) error {
	for range 2 {
		res, raw, err := readWhole(in, http.MethodGet)
		if err != nil {
			return err
		}
		if res.StatusCode != http.StatusOK || string(raw) != nextBody {
			return fmt.Errorf("the next response is %d %q", res.StatusCode, raw)
		}
	}
	if in.Buffered() > 0 {
		return fmt.Errorf("%d bytes follow the last response", in.Buffered())
	}
	return nil
}

func TestCallersOfHTTP10(t *testing.T) {
	// Guards against a response that a caller of HTTP/1.0 can't read: without a length, in chunks, or on a connection that stays open.
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/html")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "body")
	})
	Convey("It reads its own version, the length and the end of the connection", t, func() {
		raw := sendRaw(url, "GET / HTTP/1.0\r\n\r\n")
		So(raw, ShouldStartWith, "HTTP/1.0 418 I'm a teapot\r\n")
		So(raw, ShouldContainSubstring, "\r\nContent-Length: 4\r\n")
		So(raw, ShouldContainSubstring, "\r\nConnection: close\r\n")
		So(raw, ShouldContainSubstring, "\r\nContent-Type: text/html\r\n")
		So(raw, ShouldContainSubstring, "\r\nDate: ")
		So(raw, ShouldEndWith, "\r\n\r\nbody")
	})
}

// decided is what a handler of the fuzz test decides on.
type decided struct {
	status   int
	value    string
	body     []byte
	piece    int
	stated   int
	isStated bool
}

func (d *decided) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Value", d.value)
	if d.isStated {
		w.Header().Set("Content-Length", strconv.Itoa(d.stated))
	}
	w.WriteHeader(d.status)
	for rest := d.body; len(rest) > 0; {
		length := min(d.piece, len(rest))
		_, _ = w.Write(rest[:length])
		rest = rest[length:]
	}
}

// want returns the status and the body that the caller reads; ok is false if it reads no whole response.
func (d *decided) want(method string) (status int, body []byte, ok bool) {
	switch {
	case d.status < 200 || d.status > 999:
		return http.StatusInternalServerError, nil, true
	case method == http.MethodHead, d.status == http.StatusNoContent, d.status == http.StatusNotModified:
		return d.status, nil, true
	case !d.isStated:
		return d.status, d.body, true
	}
	accepted := 0
	for rest := len(d.body); rest > 0; {
		length := min(d.piece, rest)
		if accepted+length > d.stated {
			break
		}
		accepted += length
		rest -= length
	}
	return d.status, d.body[:accepted], accepted == d.stated
}

// FuzzResponses lets handlers decide on anything, after and before other requests: each response is whole or none, and nothing follows it.
func FuzzResponses(f *testing.F) {
	f.Add(499, "a\r\nb: c", uint32(10), uint16(3), int32(10), uint8(0), uint8(2))
	f.Add(204, "", uint32(5), uint16(5), int32(-1), uint8(0), uint8(0))
	f.Add(200, "\x00\x7f ", uint32(100_000), uint16(999), int32(99_000), uint8(2), uint8(1))
	f.Add(200, "v", uint32(100_000), uint16(50_000), int32(100_000), uint8(0), uint8(3))
	f.Add(101, "v", uint32(0), uint16(1), int32(0), uint8(1), uint8(1))
	f.Add(499, "v", uint32(86), uint16(3), int32(10), uint8(0), uint8(2))
	f.Add(999, "\n\n", uint32(7), uint16(7), int32(3), uint8(3), uint8(0))
	var current atomic.Pointer[decided]
	s := New(anyLoopbackPort, beforeNext(func(w http.ResponseWriter, r *http.Request) { current.Load().ServeHTTP(w, r) }))
	if err := s.Start(); err != nil {
		f.Fatal(err)
	}
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodDelete}
	f.Fuzz(func(t *testing.T, status int, value string, length uint32, piece uint16, stated int32, method uint8, ahead uint8) {
		d := &decided{
			status: status, value: value, body: bytes.Repeat([]byte("HTTP/1.1 200 OK\r\n"), int(length%200_000)/17+1)[:length%200_000],
			piece: int(piece) + 1, stated: int(stated), isStated: stated >= 0,
		}
		current.Store(d)
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		name := methods[int(method)%len(methods)]
		count := int(ahead%4) + 1
		first := strings.Repeat(name+" / HTTP/1.1\r\nHost: x\r\n\r\n", count)
		if _, err := io.WriteString(conn, first+nextRequests); err != nil {
			t.Fatal(err)
		}
		if _, _, ok := d.want(name); !ok {
			if err := readCut(s, conn, name); err != nil {
				t.Fatal(err)
			}
			return
		}
		checkResponses(t, conn, d, name, count)
	})
}

// checkResponses reads count responses of d's and then those to nextRequests.
func checkResponses(t *testing.T, conn net.Conn, d *decided, method string, count int) {
	in := bufio.NewReader(conn)
	status, body, _ := d.want(method)
	for range count {
		res, raw, err := readWhole(in, method)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != status || !bytes.Equal(raw, body) {
			t.Fatalf("read %d with %d bytes, want %d with %d", res.StatusCode, len(raw), status, len(body))
		}
		if got := res.Header.Get("X-Value"); status == d.status && got != readableValue(d.value) {
			t.Fatalf("read the value %q, want %q", got, readableValue(d.value))
		}
	}
	if err := readNext(in); err != nil {
		t.Fatal(err)
	}
}

// readableValue returns what the caller reads of a header value.
func readableValue(value string) string {
	for c := range 256 {
		if c < ' ' && c != '\t' || c == 127 {
			value = strings.ReplaceAll(value, string([]byte{byte(c)}), " ")
		}
	}
	return strings.Trim(value, " \t")
}
