package daemon

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

// faultResponse answers a request that was refused before it was whole, in the form of all other refusals.
func faultResponse(f httpd.Fault) (int, http.Header, []byte) {
	refusal := call.Refuse(call.BadRequest, 0)
	switch f {
	case httpd.HeadTooLarge, httpd.BodyTooLarge:
		refusal = call.Refuse(call.TooLarge, 0)
	case httpd.Full:
		refusal = call.Refuse(call.Overloaded, time.Second)
	case httpd.Closing:
		refusal = call.Refuse(call.Draining, time.Second)
		refusal.Status = http.StatusRequestTimeout
	case httpd.Malformed:
	}
	header := http.Header{}
	setRefusalHeaders(header, refusal)
	return refusal.Status, header, refusalBody(refusal, "")
}

// readBody takes a request's body over in one piece of its size.
func readBody(r *http.Request) ([]byte, error) {
	defer func() { _ = r.Body.Close() }()
	if r.ContentLength <= 0 {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// reservedPrefix is what the names of the system's own headers begin with.
const reservedPrefix = "foxtailhook-"

// isReserved reports whether a caller's header could pass for one of the system's.
// Upstreams behind CGI-like interfaces see _ and - as the same, so a caller could
// name its organisation in Foxtailhook_Organisation.
func isReserved(name string) bool {
	return strings.HasPrefix(strings.ReplaceAll(strings.ToLower(name), "_", "-"), reservedPrefix)
}
