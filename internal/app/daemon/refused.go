package daemon

import (
	"net/http"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// refused returns what is known of a request that the door refused: an id, by
// which its caller and its operator can speak of it, and whose it is.
func (d *Daemon) refused(r *http.Request) *call.Request {
	to, _ := locate(r.URL)
	known := &call.Request{ID: newID(), Service: to.service, Method: r.Method, Path: to.path}
	if origin, ok := d.owner.chains.find(r.Header.Get(upstream.HeaderToken)); ok {
		known.ID, known.Organisation, known.Depth = origin.request.ID, origin.request.Organisation, origin.request.Depth+1
		return known
	}
	if key, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer); ok {
		known.Organisation, _ = d.view.Load().Authenticate(key)
	}
	return known
}
