package httpd

import (
	"net/http"
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
		if g, ok := s.guardOf(conn); ok {
			defer g.serve()()
		}
		out := &closer{ResponseWriter: w, server: s, asked: r.Close}
		// nbhttp would close the connection with the answer still in its send queue.
		r.Close = false
		next.ServeHTTP(out, r)
		out.finish(conn)
	})
}

// closer tells the caller that the connection ends with this answer, and ends it when the answer has had time to leave.
type closer struct {
	http.ResponseWriter
	server *Server
	asked  bool
	closes bool
	begun  bool
}

// Unwrap returns the writer below.
func (c *closer) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader adds the connection's header.
func (c *closer) WriteHeader(status int) {
	c.begun = true
	if c.asked || c.server.closing() {
		c.closes = true
		c.Header().Set("Connection", "close")
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
	size, _ := strconv.Atoi(c.Header().Get("Content-Length"))
	time.AfterFunc(linger+time.Duration(size/leastRate)*time.Second, func() { _ = conn.Close() })
}
