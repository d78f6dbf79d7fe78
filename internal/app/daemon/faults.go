package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// refuseFault answers a request that was refused before it was whole, in the form of all other refusals.
func refuseFault(f httpd.Fault) (int, http.Header, []byte) {
	refusal := call.Refuse(call.BadRequest, 0)
	switch f {
	case httpd.HeadTooLarge, httpd.BodyTooLarge:
		refusal = call.Refuse(call.TooLarge, 0)
	case httpd.Full:
		refusal = call.Refuse(call.Overloaded, time.Second)
	case httpd.Malformed:
	}
	raw, _ := json.Marshal(Refusal{
		Outcome: refusal.Outcome.String(), Reason: refusal.Reason.String(), RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	})
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(upstream.HeaderOutcome, refusal.Outcome.String())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(refusal.RetryAfter.Seconds())))
	}
	return refusal.Status, header, append(raw, '\n')
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

// ownHeaders is what the names of the system's own headers begin with.
const ownHeaders = "foxtailhook-"

// forged reports whether a caller's header could pass for one of the system's.
// Upstreams behind CGI-like interfaces see _ and - as the same, so a caller could
// name its organisation in Foxtailhook_Organisation.
func forged(name string) bool {
	return strings.HasPrefix(strings.ReplaceAll(strings.ToLower(name), "_", "-"), ownHeaders)
}
