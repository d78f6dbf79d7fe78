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
	done    chan struct{}
	once    sync.Once
}

// lookEvery bounds how long work goes on for a caller that is gone.
const lookEvery = 20 * time.Millisecond

func newHangups() *hangups {
	return &hangups{running: map[*nbio.Conn]context.CancelFunc{}, done: make(chan struct{})}
}

func (h *hangups) run() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-tick.C:
			h.look()
		}
	}
}

func (h *hangups) stop() { h.once.Do(func() { close(h.done) }) }

func (h *hangups) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn, cancel := range h.running {
		if closed, _ := conn.IsClosed(); closed {
			cancel()
		}
	}
}

func (h *hangups) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(w)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		h.mu.Lock()
		h.running[conn] = cancel
		h.mu.Unlock()
		defer func() {
			h.mu.Lock()
			delete(h.running, conn)
			h.mu.Unlock()
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
