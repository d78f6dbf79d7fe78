package httpd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// converse sends raw bytes and returns all that comes back until the connection is closed.
func converse(url string, raw string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	_, _ = conn.Write([]byte(raw))
	back, err := io.ReadAll(conn)
	So(err, ShouldBeNil)
	return string(back)
}

func TestFaultsAreAnswered(t *testing.T) {
	// A caller's client is broken, or somebody tries what the port takes. A
	// connection that just ends tells the caller nothing, and memory set aside
	// for what is announced or never ends is missing for everybody else.
	var ran atomic.Int32
	url := start(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		_, _ = io.Copy(w, r.Body)
	}, WithBodyBound(1000), WithHeldBytes(800), WithHead(500, time.Second))
	post := "POST / HTTP/1.1\r\nHost: x\r\n"
	cases := []struct {
		name string
		raw  string
		want string
	}{
		{"no HTTP", "what is this\r\n\r\n", "HTTP/1.1 400 "},
		{"a length that is no number", post + "Content-Length: many\r\n\r\n", "HTTP/1.1 400 "},
		{"a body announced over the bound", post + "Content-Length: 1001\r\n\r\n", "HTTP/1.1 413 "},
		{"a body announced over what is free", post + "Content-Length: 900\r\n\r\n", "HTTP/1.1 503 "},
		{"chunks over the bound", post + "Transfer-Encoding: chunked\r\n\r\nfff\r\n" + strings.Repeat("x", 5000), "HTTP/1.1 413 "},
		{"a head over the bound", post + strings.Repeat("A: b\r\n", 200) + "\r\n", "HTTP/1.1 431 "},
		{"a head without end", post + "A: " + strings.Repeat("b", 5000), "HTTP/1.1 431 "},
		{"a head that stops", post, ""},
		{"a length and chunks", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 "},
		{"chunks and a length", post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 "},
		{"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "HTTP/1.1 400 "},
		{"another transfer coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 "},
		{"a request behind a refused one", "bad\r\n\r\n" + post + "Content-Length: 1\r\n\r\nx", "HTTP/1.1 400 "},
	}
	Convey("Each fault has its answer, once, and no handler runs", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				before := ran.Load()
				back := converse(url, c.raw)
				So(back, ShouldStartWith, c.want)
				So(strings.Count(back, "HTTP/1.1"), ShouldEqual, min(len(c.want), 1))
				So(ran.Load(), ShouldEqual, before)
			})
		}
		Convey("a refusal comes behind the answers before it", func() {
			back := converse(url, post+"Content-Length: 5\r\n\r\nfirst"+"bad\r\n\r\n")
			So(back, ShouldStartWith, "HTTP/1.1 200 ")
			So(strings.Index(back, "first"), ShouldBeLessThan, strings.Index(back, "HTTP/1.1 400 "))
		})
		Convey("others are served, and their bytes are given back", func() {
			for range 10 {
				res, err := http.Post(url, "text/plain", strings.NewReader(strings.Repeat("y", 700)))
				So(err, ShouldBeNil)
				raw, _ := io.ReadAll(res.Body)
				So(len(raw), ShouldEqual, 700)
			}
		})
	})
}

func TestSlowCallersDoNotCutRequests(t *testing.T) {
	// A request works longer than a head may take to arrive. The clock that is
	// for slow callers must not end it.
	var url string
	url = start(t, func(w http.ResponseWriter, _ *http.Request) {
		// The clock of a head that was begun later runs out meanwhile.
		if conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://")); err == nil {
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n"))
			_, _ = io.Copy(w, conn)
			_, _ = w.Write([]byte("done"))
		}
	}, WithHead(500, time.Second))
	Convey("A long request is answered", t, func() {
		res, err := http.Get(url)
		So(err, ShouldBeNil)
		raw, err := io.ReadAll(res.Body)
		So(err, ShouldBeNil)
		So(string(raw), ShouldEqual, "done")
	})
}

func TestLargeAnswerOnAClosingConnection(t *testing.T) {
	// A caller asks for the connection to be closed behind a large answer, or
	// the daemon is leaving. nbhttp closes it with the answer's end still in
	// the send queue: half a vehicle list arrives.
	large := bytes.Repeat([]byte("v"), 16<<20)
	handler := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		_, _ = w.Write(large)
	}
	cases := []struct {
		name    string
		asked   bool
		closing bool
	}{{"the caller asked", true, false}, {"the daemon is leaving", false, true}}
	Convey("The whole answer arrives, with word that the connection ends", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				url := start(t, handler, WithClosing(func() bool { return c.closing }))
				req, err := http.NewRequest(http.MethodGet, url, nil)
				So(err, ShouldBeNil)
				req.Close = c.asked
				res, err := http.DefaultClient.Do(req)
				So(err, ShouldBeNil)
				So(res.Close, ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
				raw, err := io.ReadAll(res.Body)
				So(err, ShouldBeNil)
				So(len(raw), ShouldEqual, len(large))
			})
		}
	})
}

func TestBoundsThatChange(t *testing.T) {
	// The operator lowers what callers may send while the daemon runs. Held to the bounds of its start, the daemon would take in
	// heads and files that the operator no longer wants, and keep connections whose callers are long gone.
	address := loopback.Address()
	s := New(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }), WithBodyBound(1000))
	Convey("Bounds hold from the moment on at which they are set, and 0 is the server's own", t, func() {
		So(s.Start(), ShouldBeNil)
		defer func() { _ = s.Stop(t.Context()) }()
		url := "http://" + address.String()
		post := "POST / HTTP/1.1\r\nHost: x\r\n"
		for _, c := range []struct {
			name   string
			bounds Bounds
			raw    string
			want   string
		}{
			{"a smaller body", Bounds{BodyBytes: 10}, post + "Content-Length: 11\r\n\r\n", "HTTP/1.1 413 "},
			{"a larger body than the server's", Bounds{BodyBytes: 5000}, post + "Content-Length: 1001\r\n\r\n", "HTTP/1.1 413 "},
			{"a smaller head", Bounds{HeadBytes: 100}, post + "A: " + strings.Repeat("b", 200) + "\r\n\r\n", "HTTP/1.1 431 "},
			{"a shorter time for the head", Bounds{HeadTime: 50 * time.Millisecond}, post, ""},
			{"the server's own again", Bounds{}, post + "Connection: close\r\nContent-Length: 2\r\n\r\nxy", "HTTP/1.1 200 "},
		} {
			s.Bound(c.bounds)
			So(converse(url, c.raw), ShouldStartWith, c.want)
		}
	})
	Convey("A connection that rests for longer than it may is ended with word that nothing ran", t, func() {
		So(s.bounds.Load().IdleTime, ShouldEqual, 0)
		idle := New(loopback.Address(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		So(idle.Start(), ShouldBeNil)
		defer func() { _ = idle.Stop(t.Context()) }()
		conn, err := net.Dial("tcp", idle.address.String())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		first := make([]byte, 4096)
		_, err = conn.Read(first)
		So(err, ShouldBeNil)
		idle.EndIdle(time.Now().Add(time.Hour))
		idle.Bound(Bounds{IdleTime: 10 * time.Second})
		idle.EndIdle(time.Now().Add(5 * time.Second))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			// The request counts as at work for a moment after its answer has arrived.
			for ; idle.connections() > 0; time.Sleep(time.Millisecond) {
				idle.EndIdle(time.Now().Add(11 * time.Second))
			}
		}()
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		raw, err := io.ReadAll(conn)
		<-ended
		So(err, ShouldBeNil)
		So(string(raw), ShouldStartWith, "HTTP/1.1 408 ")
		So(strings.Count(string(raw), "HTTP/1.1"), ShouldEqual, 1)
	})
}

func (s *Server) connections() int {
	n := 0
	s.guards.Range(func(_, _ any) bool {
		n++
		return true
	})
	return n
}
