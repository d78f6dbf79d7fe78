package daemon

import (
	"net/http"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

// faultResponse returns the response to a request that was refused before it was read completely, in the form of all
// refusals.
func faultResponse(fault httpd.Fault) (int, http.Header, []byte) {
	refusal := call.Refuse(call.BadRequest, 0)
	switch fault {
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

// reservedPrefix begins the names of foxtailhook's own headers, in lower case.
const reservedPrefix = "foxtailhook-"

// isReserved reports whether an upstream could take the header for one of foxtailhook's own. Upstreams behind CGI-like
// interfaces can't distinguish _ from -, so a caller could name another organisation in Foxtailhook_Organisation.
func isReserved(name string) bool {
	return strings.HasPrefix(strings.ReplaceAll(strings.ToLower(name), "_", "-"), reservedPrefix)
}
