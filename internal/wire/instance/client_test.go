package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

const idHeader = "X-Request"

// fakeInstance is an instance whose connections the test serves; it counts them.
type fakeInstance struct {
	address netip.AddrPort
	opened  atomic.Int64
}

func startInstance(t *testing.T, serve func(number int64, c net.Conn, r *bufio.Reader)) *fakeInstance {
	instance := &fakeInstance{address: loopback.Address()}
	l, err := net.Listen("tcp", instance.address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			number := instance.opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return instance
}

// readRequest reads one request and returns its id and its body; false means that the connection was closed.
func readRequest(r *bufio.Reader) (id, body string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	raw, err := io.ReadAll(req.Body)
	return req.Header.Get(idHeader), string(raw), err == nil
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: "GET", Target: "/a/b?c=d", Host: "h.example", Header: http.Header{idHeader: {id}}, Deadline: time.Now().Add(20 * time.Second),
		Idempotent: true, ID: id, IDOf: func(h http.Header) string { return h.Get(idHeader) },
	}
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func TestIncompleteResponses(t *testing.T) {
	// An instance crashes while it sends a response, or sends an invalid one. If a truncated response were forwarded, the caller would
	// take it for a complete one.
	for _, c := range []struct {
		name, response string
		resets         bool
		wantBody       string
	}{
		{name: "whole", response: response("1", "body"), wantBody: "body"},
		{name: "truncated body", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"},
		{name: "truncated chunks", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{name: "not HTTP", response: "\x00\x01\x02garbage\r\n\r\n"},
		{name: "closed without a response", response: ""},
		{name: "without a length, closed normally", response: "HTTP/1.1 200 OK\r\n\r\nbody", wantBody: "body"},
		{name: "without a length, reset", response: "HTTP/1.1 200 OK\r\n\r\nbody", resets: true},
		{name: "another protocol", response: "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{name: "interim response first", response: "HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "body"), wantBody: "body"},
	} {
		Convey(c.name, t, func() {
			instance := startInstance(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); !ok {
					return
				}
				_, _ = io.WriteString(conn, c.response)
				if c.resets {
					time.Sleep(20 * time.Millisecond)
					resetConn(conn)
				}
			})
			res, err := New(instance.address).Do(t.Context(), request("1"))
			if c.wantBody == "" {
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, c.wantBody)
		})
	}
}

func TestStrayResponses(t *testing.T) {
	// An instance responds to one request twice. The second response is on the connection when the next request is sent, whose
	// caller would get the data of another request.
	Convey("A second response that arrives before the next request ends the connection", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, response(id, "for "+id)+response(id, "again"))
			}
		})
		client := New(instance.address)
		for n := range 5 {
			id := fmt.Sprint(n)
			res, err := client.Do(t.Context(), request(id))
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "for "+id)
		}
	})
	Convey("One that arrives in place of the next response is skipped", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			previousID := ""
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if previousID != "" {
					_, _ = io.WriteString(c, response(previousID, "again"))
				}
				_, _ = io.WriteString(c, response(id, "for "+id))
				previousID = id
			}
		})
		client := New(instance.address)
		for n := range 5 {
			id := fmt.Sprint(n)
			res, err := client.Do(t.Context(), request(id))
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "for "+id)
		}
		So(instance.opened.Load(), ShouldEqual, 1)
	})
}

func TestEarlyResponseToLargeBody(t *testing.T) {
	// An instance rejects an upload before it has read it and keeps the connection open. It would read the next request
	// on the connection as the rest of the upload.
	Convey("The response is returned, and the connection isn't reused", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(req.Header.Get(idHeader), "early"))
			time.Sleep(100 * time.Millisecond)
		})
		client := New(instance.address)
		for n := range 2 {
			r := request(fmt.Sprint(n))
			r.Method, r.Body = "POST", []byte(strings.Repeat("x", 8<<20))
			res, err := client.Do(t.Context(), r)
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "early")
		}
		So(instance.opened.Load(), ShouldEqual, 2)
	})
}

func TestUnsentAndLostRequests(t *testing.T) {
	Convey("A request to an instance that accepts no connection was not sent", t, func() {
		_, err := New(loopback.Address()).Do(t.Context(), request("1"))
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
	Convey("A request whose caller had hung up before was not sent", t, func() {
		instance := startInstance(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := New(instance.address).Do(ctx, request("1"))
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
	// An instance closes an idle connection. A request sent on it would be lost, and whether it
	// ran would be unknown.
	Convey("A connection that the instance has closed is detected before a request is sent on it", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			if id, _, ok := readRequest(r); ok {
				_, _ = io.WriteString(c, response(id, "body"))
			}
		})
		client := New(instance.address)
		for range 3 {
			_, err := client.Do(t.Context(), request("1"))
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
		}
		So(instance.opened.Load(), ShouldEqual, 3)
	})
	Convey("When the caller hangs up, the connection to the instance is closed", t, func() {
		ended := make(chan struct{})
		begun := make(chan struct{})
		instance := startInstance(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			close(begun)
			_, _ = r.ReadByte()
			close(ended)
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-begun
			cancel()
		}()
		_, err := New(instance.address).Do(ctx, request("1"))
		So(errors.Is(err, ErrLost), ShouldBeTrue)
		<-ended
	})
}

func TestIdleConnections(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name        string
		idleTimeout time.Duration
		idleFor     time.Duration
		idempotent  bool
		wantReuse   bool
	}{
		{"recently used, not idempotent", 10 * time.Second, 500 * time.Millisecond, false, true},
		{"idle for longer, not idempotent", 10 * time.Second, 1500 * time.Millisecond, false, false},
		{"idle for longer, idempotent", 10 * time.Second, 1500 * time.Millisecond, true, true},
		{"near the instance's idle timeout", 2 * time.Second, 1500 * time.Millisecond, true, false},
		{"idle timeout not stated", 0, 3 * time.Second, true, true},
		{"idle timeout not stated, idle for too long", 0, 5 * time.Second, true, false},
	} {
		Convey(c.name, t, func() {
			p := newPool()
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			p.put(&conn{Conn: near, reader: newHeadReader(near), idleSince: start, idleTimeout: c.idleTimeout})
			So(p.get(&Request{ID: "1", Idempotent: c.idempotent}, start.Add(c.idleFor)) != nil, ShouldEqual, c.wantReuse)
		})
	}
	Convey("A sweep closes connections idle for too long", t, func() {
		p := newPool()
		near, far := net.Pipe()
		p.put(&conn{Conn: near, reader: newHeadReader(near), idleSince: start})
		p.sweep(start.Add(defaultIdleTimeout + time.Second))
		_, err := far.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}

// TestRepeatedAttemptKeepsConnections guards against a connection that is opened for each repeated attempt although another idle one would do.
func TestRepeatedAttemptKeepsConnections(t *testing.T) {
	Convey("The attempt uses the other idle connection", t, func() {
		both := make(chan struct{}, 2)
		release := make(chan struct{})
		instance := startInstance(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			for n := 0; ; n++ {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if n == 0 {
					both <- struct{}{}
					<-release
				}
				_, _ = io.WriteString(conn, response(id, "x"))
			}
		})
		client := New(instance.address)
		done := make(chan error, 2)
		for _, id := range []string{"1", "2"} {
			go func() {
				_, err := client.Do(t.Context(), request(id))
				done <- err
			}()
		}
		<-both
		<-both
		close(release)
		So(<-done, ShouldBeNil)
		So(<-done, ShouldBeNil)
		top := client.pool.idle[len(client.pool.idle)-1]
		id := "1"
		if !top.used.mayInclude("1") {
			id = "2"
		}
		r := request(id)
		r.Deadline = time.Now().Add(2 * time.Second)
		_, err := client.Do(t.Context(), r)
		So(err, ShouldBeNil)
		So(client.Opened(), ShouldEqual, 2)
	})
}

func TestTargetsAreSentUnchanged(t *testing.T) {
	Convey("The instance receives path and query unchanged", t, func() {
		seen := make(chan string, 1)
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				for header := line; header != "\r\n"; {
					if header, err = r.ReadString('\n'); err != nil {
						return
					}
				}
				seen <- strings.Fields(line)[1]
				_, _ = io.WriteString(c, response("1", ""))
			}
		})
		client := New(instance.address)
		for _, target := range []string{"/a/b?c=d", "/a%2Fb/", "/a//b", "//a/b", "/a?b=%20&c", "/a;b=c/%41", "/?"} {
			r := request("1")
			r.Target = target
			_, err := client.Do(t.Context(), r)
			So(err, ShouldBeNil)
			So(<-seen, ShouldEqual, target)
		}
	})
}
