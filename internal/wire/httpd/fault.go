package httpd

import (
	"net/http"
	"sync/atomic"
)

//go:generate stringer -type=Fault -linecomment

// Fault is the reason why a request is refused before a handler is called.
type Fault uint8

const (
	// Malformed means that the bytes are not a valid HTTP request.
	Malformed Fault = iota // malformed
	// HeadTooLarge means that the request's head exceeds Bounds.HeadBytes.
	HeadTooLarge // headTooLarge
	// BodyTooLarge means that the body exceeds Bounds.BodyBytes.
	BodyTooLarge // bodyTooLarge
	// Full means that the limit on the bytes of all bodies, or that on a connection's pending requests, is reached.
	Full // full
	// Closing means that the server closes the idle connection: no further request on it is run.
	Closing // closing
)

// Refuser returns the response to a request with the given fault.
type Refuser func(Fault) (status int, header http.Header, body []byte)

// plainRefusal is the default Refuser.
func plainRefusal(f Fault) (int, http.Header, []byte) {
	statuses := map[Fault]int{
		Malformed:    http.StatusBadRequest,
		HeadTooLarge: http.StatusRequestHeaderFieldsTooLarge,
		BodyTooLarge: http.StatusRequestEntityTooLarge,
		Full:         http.StatusServiceUnavailable,
		Closing:      http.StatusRequestTimeout,
	}
	return statuses[f], http.Header{}, []byte(f.String() + "\n")
}

// byteBudget limits the total size of all bodies that are arriving or being handled.
//
// Many callers may send files of 64 MB at the same time. Without a limit the
// daemon's memory grows with their number until the host kills it, and all its
// requests are lost; so bytes are admitted like slots.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// acquire reserves n bytes; false means that they are not available.
func (b *byteBudget) acquire(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }
