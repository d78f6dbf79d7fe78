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

// sendRaw sends raw bytes and returns everything that is received until the connection is closed.
func sendRaw(url string, raw string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	_, _ = conn.Write([]byte(raw))
	response, err := io.ReadAll(conn)
	So(err, ShouldBeNil)
	return string(response)
}

func TestFaultsAreAnswered(t *testing.T) {
	// Guards against closing a connection without a response to an invalid request, and against reserving
	// memory for bodies that are only announced or never end, which other callers would lack.
	var ran atomic.Int32
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		_, _ = io.Copy(w, r.Body)
	}, WithBodyBound(1000), WithHeldBytes(800), WithHead(500, time.Second))
	post := "POST / HTTP/1.1\r\nHost: x\r\n"
	cases := []struct {
		name string
		raw  string
		want string
	}{
		{"not HTTP", "what is this\r\n\r\n", "HTTP/1.1 400 "},
		{"a length that is not a number", post + "Content-Length: many\r\n\r\n", "HTTP/1.1 400 "},
		{"an announced body over the limit", post + "Content-Length: 1001\r\n\r\n", "HTTP/1.1 413 "},
		{"an announced body over the free bytes", post + "Content-Length: 900\r\n\r\n", "HTTP/1.1 503 "},
		{"chunks over the limit", post + "Transfer-Encoding: chunked\r\n\r\nfff\r\n" + strings.Repeat("x", 5000), "HTTP/1.1 413 "},
		{"a head over the limit", post + strings.Repeat("A: b\r\n", 200) + "\r\n", "HTTP/1.1 431 "},
		{"a header line without end", post + "A: " + strings.Repeat("b", 5000), "HTTP/1.1 431 "},
		{"an incomplete head", post, ""},
		{"a length and chunks", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 "},
		{"chunks and a length", post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 "},
		{"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "HTTP/1.1 400 "},
		{"another transfer coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 "},
		{"a request after a refused one", "bad\r\n\r\n" + post + "Content-Length: 1\r\n\r\nx", "HTTP/1.1 400 "},
	}
	Convey("Each fault is answered once, and no handler runs", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				before := ran.Load()
				response := sendRaw(url, c.raw)
				So(response, ShouldStartWith, c.want)
				So(strings.Count(response, "HTTP/1.1"), ShouldEqual, min(len(c.want), 1))
				So(ran.Load(), ShouldEqual, before)
			})
		}
		Convey("a refusal is sent after the earlier responses", func() {
			responses := sendRaw(url, post+"Content-Length: 5\r\n\r\nfirst"+"bad\r\n\r\n")
			So(responses, ShouldStartWith, "HTTP/1.1 200 ")
			So(strings.Index(responses, "first"), ShouldBeLessThan, strings.Index(responses, "HTTP/1.1 400 "))
		})
		Convey("other requests are served, and their bytes are released", func() {
			for range 10 {
				res, err := http.Post(url, "text/plain", strings.NewReader(strings.Repeat("y", 700)))
				So(err, ShouldBeNil)
				raw, _ := io.ReadAll(res.Body)
				So(len(raw), ShouldEqual, 700)
			}
		})
	})
}

func TestHeadTimeoutDoesNotEndRequests(t *testing.T) {
	// Guards against the timeout of a slow head ending a request that runs for longer than that timeout.
	var url string
	url = startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		// The timeout of another connection's incomplete head passes in the meantime.
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
	// Guards against truncated responses: nbhttp closes a connection whose caller asked for that, or whose daemon
	// is shutting down, while the end of a large response is still in the send queue.
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
	Convey("The whole response arrives, and announces that the connection is closed", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				url := startServer(t, handler, WithClosing(func() bool { return c.closing }))
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
	// Guards against keeping the bounds of the start after the operator has lowered them: the daemon would accept heads and
	// bodies that are too large, and keep idle connections for too long.
	address := loopback.Address()
	s := New(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }), WithBodyBound(1000))
	Convey("Bounds apply once they are set, and 0 means the bound that New was given", t, func() {
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
			{"a larger body than New allows", Bounds{BodyBytes: 5000}, post + "Content-Length: 1001\r\n\r\n", "HTTP/1.1 413 "},
			{"a smaller head", Bounds{HeadBytes: 100}, post + "A: " + strings.Repeat("b", 200) + "\r\n\r\n", "HTTP/1.1 431 "},
			{"a shorter time for the head", Bounds{HeadTime: 50 * time.Millisecond}, post, ""},
			{"the bounds that New was given", Bounds{}, post + "Connection: close\r\nContent-Length: 2\r\n\r\nxy", "HTTP/1.1 200 "},
		} {
			s.SetBounds(c.bounds)
			So(sendRaw(url, c.raw), ShouldStartWith, c.want)
		}
	})
	Convey("A connection that is idle for too long is closed with a response that says that nothing ran", t, func() {
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
		idle.SetBounds(Bounds{IdleTime: 10 * time.Second})
		idle.EndIdle(time.Now().Add(5 * time.Second))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			// The request counts as running for a moment after its response has arrived.
			for ; idle.connectionCount() > 0; time.Sleep(time.Millisecond) {
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

// connectionCount returns the number of open connections.
func (s *Server) connectionCount() int {
	count := 0
	s.guards.Range(func(_, _ any) bool {
		count++
		return true
	})
	return count
}
