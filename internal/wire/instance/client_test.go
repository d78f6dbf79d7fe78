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

// peer is an instance in a test: serve gets each connection, with the number of those before it.
type peer struct {
	address netip.AddrPort
	opened  atomic.Int64
}

func listen(t *testing.T, serve func(number int64, c net.Conn, r *bufio.Reader)) *peer {
	p := &peer{address: loopback.Address()}
	l, err := net.Listen("tcp", p.address.String())
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
			number := p.opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

// next reads one request and returns its id and its body; false means that the connection has ended.
func next(r *bufio.Reader) (id, body string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	raw, err := io.ReadAll(req.Body)
	return req.Header.Get(idHeader), string(raw), err == nil
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: "GET", Target: "/a/b?c=d", Host: "h.example", Header: http.Header{idHeader: {id}}, Deadline: time.Now().Add(20 * time.Second),
		Repeatable: true, Answers: func(h http.Header) bool { return h.Get(idHeader) == "" || h.Get(idHeader) == id },
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func TestAnswersThatAreNotWhole(t *testing.T) {
	// An instance dies in the middle of an answer, or spoils it. Passed on, a dealer would read half a recall as a whole one.
	for _, c := range []struct {
		name, raw string
		resets    bool
		whole     string
	}{
		{name: "whole", raw: answer("1", "body"), whole: "body"},
		{name: "cut short", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"},
		{name: "chunks cut short", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{name: "no HTTP", raw: "\x00\x01\x02garbage\r\n\r\n"},
		{name: "nothing", raw: ""},
		{name: "without a length, closed in order", raw: "HTTP/1.1 200 OK\r\n\r\nbody", whole: "body"},
		{name: "without a length, reset", raw: "HTTP/1.1 200 OK\r\n\r\nbody", resets: true},
		{name: "another protocol", raw: "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{name: "interim answers first", raw: "HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "body"), whole: "body"},
	} {
		Convey(c.name, t, func() {
			p := listen(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, ok := next(r); !ok {
					return
				}
				_, _ = io.WriteString(conn, c.raw)
				if c.resets {
					time.Sleep(20 * time.Millisecond)
					reset(conn)
				}
			})
			res, err := New(p.address).Do(t.Context(), request("1"))
			if c.whole == "" {
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, c.whole)
		})
	}
}

func TestAnswersOfOthers(t *testing.T) {
	// An instance answers one request twice. The second answer lies on the connection when the next request goes out, and its
	// caller would be told of another household's payment.
	Convey("A second answer that comes at once ends the connection", t, func() {
		p := listen(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := next(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, answer(id, "for "+id)+answer(id, "again"))
			}
		})
		client := New(p.address)
		for n := range 5 {
			id := fmt.Sprint(n)
			res, err := client.Do(t.Context(), request(id))
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "for "+id)
		}
	})
	Convey("One that comes late, where the next answer is due, is passed over", t, func() {
		p := listen(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			before := ""
			for {
				id, _, ok := next(r)
				if !ok {
					return
				}
				if before != "" {
					_, _ = io.WriteString(c, answer(before, "again"))
				}
				_, _ = io.WriteString(c, answer(id, "for "+id))
				before = id
			}
		})
		client := New(p.address)
		for n := range 5 {
			id := fmt.Sprint(n)
			res, err := client.Do(t.Context(), request(id))
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "for "+id)
		}
		So(p.opened.Load(), ShouldEqual, 1)
	})
}

func TestEarlyAnswerToALargeBody(t *testing.T) {
	// An instance refuses a photo before it has read it and keeps the connection. What comes next on it would be taken for
	// the rest of the photo.
	Convey("The answer is there, and the connection isn't used again", t, func() {
		p := listen(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(req.Header.Get(idHeader), "early"))
			time.Sleep(100 * time.Millisecond)
		})
		client := New(p.address)
		for n := range 2 {
			r := request(fmt.Sprint(n))
			r.Method, r.Body = "POST", []byte(strings.Repeat("x", 8<<20))
			res, err := client.Do(t.Context(), r)
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "early")
		}
		So(p.opened.Load(), ShouldEqual, 2)
	})
}

func TestWhatProvesThatNothingWasSent(t *testing.T) {
	Convey("An instance that takes no connection got nothing", t, func() {
		_, err := New(loopback.Address()).Do(t.Context(), request("1"))
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
	Convey("Neither did one whose caller had gone before", t, func() {
		p := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _, _ = next(r) })
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := New(p.address).Do(ctx, request("1"))
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
	// An instance closes an idle connection, or forgets it. A payment sent on it would be lost without a trace, and nobody
	// could say whether it was made.
	Convey("A connection that the instance has closed is seen before a request goes out on it", t, func() {
		p := listen(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			if id, _, ok := next(r); ok {
				_, _ = io.WriteString(c, answer(id, "body"))
			}
		})
		client := New(p.address)
		for range 3 {
			_, err := client.Do(t.Context(), request("1"))
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
		}
		So(p.opened.Load(), ShouldEqual, 3)
	})
	Convey("A caller that hangs up ends the work of the instance", t, func() {
		ended := make(chan struct{})
		begun := make(chan struct{})
		p := listen(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
			_, _, _ = next(r)
			close(begun)
			_, _ = r.ReadByte()
			close(ended)
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-begun
			cancel()
		}()
		_, err := New(p.address).Do(ctx, request("1"))
		So(errors.Is(err, ErrLost), ShouldBeTrue)
		<-ended
	})
}

func TestIdleConnections(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		limit      time.Duration
		idle       time.Duration
		repeatable bool
		used       bool
	}{
		{"fresh, once", 10 * time.Second, 500 * time.Millisecond, false, true},
		{"older, once", 10 * time.Second, 1500 * time.Millisecond, false, false},
		{"older, repeatable", 10 * time.Second, 1500 * time.Millisecond, true, true},
		{"near the instance's limit", 2 * time.Second, 1500 * time.Millisecond, true, false},
		{"no limit known", 0, 3 * time.Second, true, true},
		{"no limit known, old", 0, 5 * time.Second, true, false},
	} {
		Convey(c.name, t, func() {
			p := newPool()
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			p.put(&conn{Conn: near, reader: bufio.NewReader(near), idle: start, limit: c.limit})
			So(p.get(c.repeatable, start.Add(c.idle)) != nil, ShouldEqual, c.used)
		})
	}
	Convey("A sweep closes what is too old", t, func() {
		p := newPool()
		near, far := net.Pipe()
		p.put(&conn{Conn: near, reader: bufio.NewReader(near), idle: start})
		p.sweep(start.Add(defaultIdle + time.Second))
		_, err := far.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}

func TestTargetsAreSentAsTheyCame(t *testing.T) {
	Convey("Path and query reach the instance unchanged", t, func() {
		seen := make(chan string, 1)
		p := listen(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				for head := line; head != "\r\n"; {
					if head, err = r.ReadString('\n'); err != nil {
						return
					}
				}
				seen <- strings.Fields(line)[1]
				_, _ = io.WriteString(c, answer("1", ""))
			}
		})
		client := New(p.address)
		for _, target := range []string{"/a/b?c=d", "/a%2Fb/", "/a//b", "//a/b", "/a?b=%20&c", "/a;b=c/%41", "/?"} {
			r := request("1")
			r.Target = target
			_, err := client.Do(t.Context(), r)
			So(err, ShouldBeNil)
			So(<-seen, ShouldEqual, target)
		}
	})
}
