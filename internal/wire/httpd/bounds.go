package httpd

import "time"

// Bounds are what a caller may send and how long it may take for it; they may change while the server runs.
type Bounds struct {
	// HeadBytes and HeadTime bound a request's head in bytes and in the time it takes to arrive.
	HeadBytes int
	HeadTime  time.Duration
	// BodyBytes bounds one request's body, and is never more than the server was made with.
	BodyBytes int
	// IdleTime is how long a connection may rest between two requests; 0 leaves it to the server's keep-alive.
	IdleTime time.Duration
}

// Bound puts bounds in force for what arrives from now on; a field that is 0 keeps the server's own.
func (s *Server) Bound(b Bounds) {
	own := s.own
	if b.HeadBytes > 0 {
		own.HeadBytes = b.HeadBytes
	}
	if b.HeadTime > 0 {
		own.HeadTime = b.HeadTime
	}
	if b.BodyBytes > 0 {
		own.BodyBytes = min(b.BodyBytes, own.BodyBytes)
	}
	own.IdleTime = b.IdleTime
	s.bounds.Store(&own)
}

// EndIdle ends the connections that have rested for longer than they may; it is called now and then.
//
// Callers that never come back would hold the descriptors that others need. One whose next request crosses the end is
// told that it wasn't run, and sends it again.
func (s *Server) EndIdle(now time.Time) {
	limit := s.bounds.Load().IdleTime
	if limit <= 0 {
		return
	}
	s.guards.Range(func(_, value any) bool {
		value.(*guard).end(now, max(limit, idleEnough))
		return true
	})
}
