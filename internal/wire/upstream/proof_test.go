package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestSendTracker(t *testing.T) {
	// A connection fails, or the caller hangs up, around the time at which a request's
	// first byte would be sent. A wrong result would report a request as not run though it
	// may run, or as unknown though nothing was sent.
	Convey("With a connection that was used before", t, func() {
		near, far := net.Pipe()
		go func() {
			buffer := make([]byte, 64)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
			}
		}()
		t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
		conn := &countingConn{Conn: near}
		tracker := &sendTracker{}
		_, err := conn.Write([]byte("an earlier request"))
		So(err, ShouldBeNil)
		Convey("a request without a write is unsent, and later writes fail", func() {
			tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
			So(tracker.sealUnsent(), ShouldBeTrue)
			_, err := conn.Write([]byte("late"))
			So(err, ShouldEqual, errSealed)
		})
		Convey("a request with one write is not unsent", func() {
			tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
			_, err := conn.Write([]byte("x"))
			So(err, ShouldBeNil)
			So(tracker.sealUnsent(), ShouldBeFalse)
		})
		Convey("a connection that is assigned after the request ended is sealed", func() {
			So(tracker.sealUnsent(), ShouldBeTrue)
			tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
			_, err := conn.Write([]byte("late"))
			So(err, ShouldEqual, errSealed)
		})
	})
}

func TestFailuresBeforeSending(t *testing.T) {
	address, counts := startRaw(t, okResponse)
	c := New(address)
	Convey("A request whose caller hung up before it was sent did not run", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		a := c.Do(ctx, request(http.MethodPost), "t")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.Cancelled)
	})
	Convey("A request whose deadline had passed did not run", t, func() {
		r := request(http.MethodPost)
		r.Deadline = time.Now().Add(-time.Millisecond)
		a := c.Do(t.Context(), r, "t")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.DeadlineTooNear)
	})
	Convey("A request with an invalid header did not run", t, func() {
		r := request(http.MethodPost)
		r.Header = http.Header{"X": {"a\nFoxtailhook-Organisation: b"}}
		a := c.Do(t.Context(), r, "t")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.BadRequest)
	})
	Convey("The upstream received none of them", t, func() { So(counts.requests.Load(), ShouldEqual, 0) })
}

func TestResponseWithoutLength(t *testing.T) {
	// A response that ends when the connection is closed looks the same if the upstream
	// is killed while sending it: the caller would take a truncated response for a complete one.
	Convey("A response that ends with its connection does not count as complete", t, func() {
		address, _ := startRaw(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf a li")
		So(New(address).Do(t.Context(), request(http.MethodPost), "t").Outcome, ShouldEqual, call.Unknown)
	})
}

func TestNonIdempotentMaxIdle(t *testing.T) {
	// An upstream closes connections after its own idle timeout. A request that
	// uses one at that moment is lost with an unknown outcome.
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	const maxIdle = 20 * time.Millisecond
	c := New(netip.MustParseAddrPort(server.Listener.Addr().String()), WithNonIdempotentMaxIdle(maxIdle))
	cases := []struct {
		name       string
		idempotent bool
		wantOpened int32
	}{
		{"an idempotent request reuses a connection", true, 1},
		{"a request that is not idempotent opens a new one", false, 2},
	}
	Convey("After the maximum idle time for requests that are not idempotent", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				before := opened.Load()
				for range 2 {
					r := request(http.MethodPost)
					r.Idempotent = tc.idempotent
					So(c.Do(t.Context(), r, "t").Outcome, ShouldEqual, call.Whole)
					time.Sleep(20 * maxIdle)
				}
				So(opened.Load()-before, ShouldEqual, tc.wantOpened)
			})
		}
	})
}
