package router

import (
	"net/http"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// runRequest hands a request on to the daemon beside the chosen instance.
type runRequest struct {
	RequestID string              `msgpack:"requestId"`
	Instance  routing.Incarnation `msgpack:"instance"`
	Route     string              `msgpack:"route"`
	// Root is the route of the caller's request that this is for.
	Root          string        `msgpack:"root"`
	CallerService string        `msgpack:"callerService"`
	Organisation  string        `msgpack:"organisation"`
	Method        string        `msgpack:"method"`
	Target        string        `msgpack:"target"`
	HTTPHost      string        `msgpack:"httpHost"`
	Header        http.Header   `msgpack:"header"`
	Body          []byte        `msgpack:"body"`
	Remaining     time.Duration `msgpack:"remaining"`
	// Priority is that of the caller's request.
	Priority   call.Priority `msgpack:"priority"`
	Idempotent bool          `msgpack:"idempotent"`
	// Nested means that an instance makes the request while it runs another.
	Nested bool `msgpack:"nested"`
	// Repeat means that the request was sent to an instance before, or is called by one that was.
	Repeat bool `msgpack:"repeat"`
}

// runResult is the answer to run.
type runResult struct {
	Outcome    call.Outcome  `msgpack:"outcome"`
	Reason     call.Reason   `msgpack:"reason"`
	Status     int           `msgpack:"status"`
	Header     http.Header   `msgpack:"header"`
	Body       []byte        `msgpack:"body"`
	RetryAfter time.Duration `msgpack:"retryAfter"`
	Load       call.Load     `msgpack:"load"`
	// Arrived means that the request reached the instance, whether or not it ran.
	Arrived bool `msgpack:"arrived"`
	// Saturation is the part of its slots that the fullest service on the request's way had in use, above 1 by how long requests wait.
	Saturation float64 `msgpack:"fullness"`
	// CallRefused means that a call of the request was refused for a full service.
	CallRefused bool `msgpack:"callRefused"`
	// CallFailed means that a call of the request failed.
	CallFailed bool `msgpack:"callFailed"`
	// Waited is how long the request waited for a slot.
	Waited time.Duration `msgpack:"waited"`
}

// fetch asks another daemon for what is newer than this.
type fetch struct {
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
}

// fetched is the answer to fetch.
type fetched struct {
	Changes catalog.Changes `msgpack:"changes"`
	// Whole means that the daemon knows a configuration and instances, and StoreAge is how long ago it or its collector heard from the store.
	Whole    bool          `msgpack:"whole"`
	StoreAge time.Duration `msgpack:"storeAge"`
}
