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

func TestProofOfNotSent(t *testing.T) {
	// A connection fails, or the caller hangs up, around the moment at which a
	// request's first byte would leave. Told wrongly, a household is charged by
	// a request that was called not run, or a booking is in doubt for nothing.
	Convey("With the connection of a request that failed", t, func() {
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
		conn := &countedConn{Conn: near}
		sent := &proof{}
		_, err := conn.Write([]byte("an earlier request"))
		So(err, ShouldBeNil)
		Convey("nothing written is proof, and nothing is written later", func() {
			sent.got(httptrace.GotConnInfo{Conn: conn})
			So(sent.unsent(), ShouldBeTrue)
			_, err := conn.Write([]byte("late"))
			So(err, ShouldEqual, errSealed)
		})
		Convey("one write is no proof", func() {
			sent.got(httptrace.GotConnInfo{Conn: conn})
			_, err := conn.Write([]byte("x"))
			So(err, ShouldBeNil)
			So(sent.unsent(), ShouldBeFalse)
		})
		Convey("a connection that comes after the verdict is sealed", func() {
			So(sent.unsent(), ShouldBeTrue)
			sent.got(httptrace.GotConnInfo{Conn: conn})
			_, err := conn.Write([]byte("late"))
			So(err, ShouldEqual, errSealed)
		})
	})
}

func TestGivenUpBeforeSending(t *testing.T) {
	address, seen := startRaw(t, ok)
	c := New(address)
	Convey("A caller that hung up before the request left was not run", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		a := c.Do(ctx, request(http.MethodPost), "t")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.Cancelled)
	})
	Convey("Nor was one whose deadline had passed", t, func() {
		r := request(http.MethodPost)
		r.Deadline = time.Now().Add(-time.Millisecond)
		a := c.Do(t.Context(), r, "t")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.DeadlineTooNear)
	})
	Convey("Nor one with a header that can't be sent", t, func() {
		r := request(http.MethodPost)
		r.Header = http.Header{"X": {"a\nFoxtailhook-Organisation: b"}}
		a := c.Do(t.Context(), r, "t")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.BadRequest)
	})
	Convey("The upstream saw none of them", t, func() { So(seen.requests.Load(), ShouldEqual, 0) })
}

func TestAnswerWithoutLength(t *testing.T) {
	// An upstream that ends its answer by closing the connection looks the same
	// when it is killed in the middle of it: the caller would take half a
	// vehicle list for the whole.
	Convey("An answer that ends with its connection is not called whole", t, func() {
		address, _ := startRaw(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf a li")
		So(New(address).Do(t.Context(), request(http.MethodPost), "t").Outcome, ShouldEqual, call.Unknown)
	})
}

func TestOnceIdle(t *testing.T) {
	// An upstream closes connections that were idle for its keep-alive time. A
	// dispatch that takes one at that moment is lost with an unknown outcome.
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	const onceIdle = 20 * time.Millisecond
	c := New(netip.MustParseAddrPort(server.Listener.Addr().String()), WithOnceIdle(onceIdle))
	cases := []struct {
		name       string
		idempotent bool
		opened     int32
	}{
		{"an idempotent request reuses a connection that was idle for long", true, 1},
		{"one that may not be repeated opens a new one", false, 2},
	}
	Convey("After an idle time", t, func() {
		for _, e := range cases {
			Convey(e.name, func() {
				before := opened.Load()
				for range 2 {
					r := request(http.MethodPost)
					r.Idempotent = e.idempotent
					So(c.Do(t.Context(), r, "t").Outcome, ShouldEqual, call.Whole)
					time.Sleep(20 * onceIdle)
				}
				So(opened.Load()-before, ShouldEqual, e.opened)
			})
		}
	})
}
