package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// ErrHistoryGone means that the configuration store no longer has the changes since a revision, so everything must be read again.
var ErrHistoryGone = errors.New("router: the configuration store no longer has the requested history")

// Source reads configurations and instances from where they are published.
type Source interface {
	// Read returns everything that is published now.
	Read(ctx context.Context) (catalog.Changes, error)
	// Watch returns the changes after the revision as soon as there are any, or none when wait is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Changes, error)
}

// Heads translates between the HTTP headers on the wire and the fields that the router needs.
type Heads interface {
	// Caller extracts the fields of a caller's header and removes them; the rest is forwarded.
	Caller(h http.Header) (CallerHead, error)
	// Forward adds the fields that an instance expects to a request's header.
	Forward(h http.Header, f Forwarded)
	// Answer reads the fields of an instance's response; the header itself is passed on unchanged.
	Answer(status int, h http.Header) InstanceHead
	// Health reads the remaining warm-up time from an instance's response to a health check; false means that it states none.
	Health(status int, h http.Header) (coldFor time.Duration, known bool)
	// Unread returns the names in an instance's response header that are neither standard nor known to the platform's adapter.
	Unread(h http.Header) []string
	// Refuse adds the fields for a caller to a response that is not an instance's.
	Refuse(h http.Header, requestID string, retryAfter time.Duration)
}

// CallerHead has the fields of a caller's header.
type CallerHead struct {
	// RequestID identifies this request; it is empty if the caller gave none.
	RequestID string
	// Timeout is how long the caller waits, 0 if it doesn't say.
	Timeout time.Duration
	// Key is the organisation's key, empty if there is none.
	Key string
}

// Forwarded has the fields that are added to a caller's header for an instance.
type Forwarded struct {
	RequestID    string
	Timeout      time.Duration
	Instance     string
	Organisation string
	// CallerService is the service of the instance on the ingress daemon's host.
	CallerService string
}

// InstanceHead has the fields of an instance's response header.
type InstanceHead struct {
	RequestID string
	// InstanceID identifies the instance, in responses to health checks; it may be empty.
	InstanceID string
	// NotRun means that the instance declined and did not run the request.
	NotRun bool
	// Authentic means that the response has the instance's signature.
	Authentic bool
	// Encoded means that the body is not the instance's own bytes.
	Encoded bool
	// RateLimit is the rate limit that the response states.
	RateLimit RateLimit
	// Leaving means that the instance is about to end and must receive no new requests.
	Leaving bool
	// Load is the load that the response states.
	Load InstanceLoad
}

// InstanceLoad is the load of an instance, as one of its responses states it.
type InstanceLoad struct {
	// Stated means that there is a readable statement.
	Stated bool
	// Running and Waiting are the numbers of requests in the instance, Slots how many of them it can run.
	Running, Waiting, Slots int
	// Slowness is how long work takes there now, relative to normal; 0 means that the response doesn't say.
	Slowness float64
	// Fault says what can't be read; the response then says nothing about the load.
	Fault string
}

// RateLimit is the rate of requests that an instance takes from all hosts together, as one of its responses states it.
type RateLimit struct {
	// Stated means that there is a limit, of PerSecond requests a second.
	Stated    bool    `msgpack:"stated"`
	PerSecond float64 `msgpack:"perSecond"`
	// Fault says what can't be read; without a readable value the response says nothing about the limit.
	Fault string `msgpack:"-"`
}
