package httpd

import (
	"net/http"
	"sync/atomic"
)

//go:generate stringer -type=Fault -linecomment

// Fault is why a request is refused before a handler sees it.
type Fault uint8

const (
	// Malformed means that the bytes are no HTTP request.
	Malformed Fault = iota // malformed
	// HeadTooLarge means that the request's head exceeds its bound.
	HeadTooLarge // headTooLarge
	// BodyTooLarge means that the body exceeds its bound.
	BodyTooLarge // bodyTooLarge
	// Full means that the bodies held leave no room for this one now.
	Full // full
	// Closing means that the connection ends with the server: what comes on it any more isn't run.
	Closing // closing
)

// Refuser makes the answer for a fault.
type Refuser func(Fault) (status int, header http.Header, body []byte)

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

// held bounds the bytes of all bodies that are arriving or being worked on.
//
// Makers send campaign files of 64 MB at the same time. Without a bound the
// daemon's memory grows with their number until the host ends it, and every
// request on it is lost; so bytes are admitted like slots.
type held struct {
	limit int64
	bytes atomic.Int64
}

func (h *held) take(n int64) bool {
	if h.bytes.Add(n) > h.limit {
		h.bytes.Add(-n)
		return false
	}
	return true
}

func (h *held) give(n int64) { h.bytes.Add(-n) }
