package call

import (
	"net/netip"
	"time"
)

// Request is one admitted request, without its organisation key.
type Request struct {
	ID             string
	Organisation   string
	Operation      string
	Service        string
	Method         string
	Path           string
	Header         Header
	Body           []byte
	Deadline       time.Time
	Priority       Priority
	Weight         int
	Idempotent     bool
	IdempotencyKey string
	Budget         int
	Depth          int
	// Receiver is the host that the response goes to, invalid for this one.
	Receiver netip.Addr
}

// Remaining returns the remaining time before the deadline, at least 0.
func (r *Request) Remaining(now time.Time) time.Duration {
	return max(r.Deadline.Sub(now), 0)
}
