package httpd

import (
	"net/http"
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
