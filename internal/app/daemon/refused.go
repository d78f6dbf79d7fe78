package daemon

import (
	"net/http"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// describeRefused returns what is known of a request that the door describeRefused: an id, by
// which its caller and its operator can speak of it, and whose it is.
func (d *Daemon) describeRefused(r *http.Request) *call.Request {
	dest, _ := locate(r.URL)
	request := &call.Request{ID: newRequestID(), Service: dest.service, Method: r.Method, Path: dest.path}
	if parent, ok := d.executor.runs.find(r.Header.Get(upstream.HeaderToken)); ok {
		request.ID, request.Organisation, request.Depth = parent.request.ID, parent.request.Organisation, parent.request.Depth+1
		return request
	}
	if key, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer); ok {
		request.Organisation, _ = d.view.Load().Authenticate(key)
	}
	return request
}
