package daemon

import (
	"net/http"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// describeRefused returns what is known of a request that was not admitted: an ID, under which its caller and
// the operators can refer to it, and its organisation.
func (d *Daemon) describeRefused(r *http.Request) *call.Request {
	dest, _ := locate(r.URL)
	known := &call.Request{ID: newRequestID(), Service: dest.service, Method: r.Method, Path: dest.path}
	if parent, ok := d.executor.runs.find(r.Header.Get(upstream.HeaderToken)); ok {
		known.ID, known.Organisation, known.Depth = parent.request.ID, parent.request.Organisation, parent.request.Depth+1
		return known
	}
	if key, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer); ok {
		known.Organisation, _ = d.view.Load().Authenticate(key)
	}
	return known
}
