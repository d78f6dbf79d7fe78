package httpd

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/lesismal/nbio"
)

// wrap counts a request at work, and closes connections that are to be closed.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(w)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		g, guarded := s.guardOf(conn)
		if guarded {
			defer g.serve()()
		}
		out := &closer{ResponseWriter: w, server: s, asked: r.Close}
		// nbhttp would close the connection with the answer still in its send queue.
		r.Close = false
		defer stopOnPanic()
		// nbhttp writes a small answer when the handler has returned, and the
		// connection runs this behind it. On a busy machine the time between is
		// long enough for a clock started before to close the connection first.
		defer conn.MustExecute(func() {
			if guarded {
				g.answered()
			}
			out.finish(conn)
		})
		next.ServeHTTP(out, r)
	})
}

// stopOnPanic ends the process when a handler has panicked.
//
// nbio catches panics and goes on without a word: the caller would wait for an
// answer that nobody writes, and the process would go on with broken state.
func stopOnPanic() {
	if what := recover(); what != nil {
		where := debug.Stack()
		go panic(fmt.Sprintf("http: handler: %v\n%s", what, where))
		select {}
	}
}

// closer tells the caller that the connection ends with this answer, and ends it when the answer has had time to leave.
type closer struct {
	http.ResponseWriter
	server *Server
	asked  bool
	closes bool
	begun  bool
	size   int
}

// Unwrap returns the writer below.
func (c *closer) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader adds the connection's header.
func (c *closer) WriteHeader(status int) {
	c.begun = true
	if c.asked || c.server.closing() {
		c.closes = true
		c.Header().Set("Connection", "close")
		c.size, _ = strconv.Atoi(c.Header().Get("Content-Length"))
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write begins the answer with status 200 if it has not begun.
func (c *closer) Write(p []byte) (int, error) {
	if !c.begun {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(p)
}

// finish closes the connection later: at once, what is still in the send queue would be lost.
func (c *closer) finish(conn *nbio.Conn) {
	if !c.closes {
		return
	}
	time.AfterFunc(linger+time.Duration(c.size/leastRate)*time.Second, func() { _ = conn.Close() })
}
