package httpd

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// hangups ends the contexts of requests whose caller is gone.
//
// nbhttp runs a connection's close callback behind the handler that is still
// at work on it, so a caller that hangs up would be noticed only when its
// answer is ready and the work below it was wasted. The poller marks the
// connection closed at once, so looking at that mark finds it in time.
type hangups struct {
	mu      sync.Mutex
	running map[*nbio.Conn]context.CancelFunc
	looking bool
}

// lookEvery bounds how long work goes on for a caller that is gone.
const lookEvery = 20 * time.Millisecond

func newHangups() *hangups { return &hangups{running: map[*nbio.Conn]context.CancelFunc{}} }

// add begins to watch a request's connection.
func (h *hangups) add(conn *nbio.Conn, cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[conn] = cancel
	if !h.looking {
		h.looking = true
		go h.run()
	}
}

func (h *hangups) remove(conn *nbio.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running, conn)
}

// run looks while there are requests at work; an idle process is not woken for nothing.
func (h *hangups) run() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for range tick.C {
		if !h.look() {
			return
		}
	}
}

// look ends the contexts of callers that are gone; false means that nothing is left to look at.
func (h *hangups) look() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn, cancel := range h.running {
		if closed, _ := conn.IsClosed(); closed {
			cancel()
		}
	}
	h.looking = len(h.running) > 0
	return h.looking
}

func (h *hangups) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(w)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		h.add(conn, cancel)
		defer func() {
			h.remove(conn)
			cancel()
		}()
		next.ServeHTTP(plainWriter{w}, r.WithContext(ctx))
	})
}

// plainWriter hides nbhttp's ReadFrom: called by io.Copy with anything but a
// file, it sends the head without the body's length, and the caller sees an
// empty answer.
type plainWriter struct {
	http.ResponseWriter
}

func connOf(w http.ResponseWriter) *nbio.Conn {
	if outer, ok := w.(*closer); ok {
		w = outer.ResponseWriter
	}
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil
	}
	conn := res.Parser.Conn
	if outer, ok := conn.(*nbhttp.Conn); ok {
		conn = outer.Conn
	}
	c, _ := conn.(*nbio.Conn)
	return c
}
