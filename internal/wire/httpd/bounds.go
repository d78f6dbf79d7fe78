package httpd

import "time"

// Bounds limit what a caller may send and how long it may take; they may change while the server runs.
type Bounds struct {
	// HeadBytes and HeadTime limit the size of a request's head and the time that it takes to arrive.
	HeadBytes int
	HeadTime  time.Duration
	// BodyBytes limits the size of a request's body; it never exceeds the limit that New was given.
	BodyBytes int
	// IdleTime limits how long a connection may be idle between two requests; 0 leaves it to the server's keep-alive time.
	IdleTime time.Duration
}

// SetBounds applies bounds to everything that arrives from now on; a field that is 0 means the bound that New was given.
func (s *Server) SetBounds(changes Bounds) {
	bounds := s.configured
	if changes.HeadBytes > 0 {
		bounds.HeadBytes = changes.HeadBytes
	}
	if changes.HeadTime > 0 {
		bounds.HeadTime = changes.HeadTime
	}
	if changes.BodyBytes > 0 {
		bounds.BodyBytes = min(changes.BodyBytes, bounds.BodyBytes)
	}
	bounds.IdleTime = changes.IdleTime
	s.bounds.Store(&bounds)
}

// EndIdle closes the connections that have been idle for IdleTime, and at least for minIdleTime; it must be called regularly.
//
// Otherwise callers that never return would use up the file descriptors. A caller whose next request arrives while its
// connection is closed receives a response that the request wasn't run, and retries it.
func (s *Server) EndIdle(now time.Time) {
	idleTime := s.bounds.Load().IdleTime
	if idleTime <= 0 {
		return
	}
	s.guards.Range(func(_, value any) bool {
		value.(*guard).closeIfIdle(now, max(idleTime, minIdleTime))
		return true
	})
}
