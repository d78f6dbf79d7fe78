package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// ErrHistoryGone means that the store no longer has the changes since a revision; all must be read anew.
var ErrHistoryGone = errors.New("router: the store's history is gone")

// Source is where configurations and instances are published; it is only read.
type Source interface {
	// Read returns everything that is published now.
	Read(ctx context.Context) (catalog.Changes, error)
	// Watch returns what changed after the revision once there is something, or nothing when wait is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Changes, error)
}

// Heads translates between the headers on the wire and what the router needs of them.
type Heads interface {
	// Caller takes the fields of a caller's head out of it; what is left is forwarded.
	Caller(h http.Header) (CallerHead, error)
	// Forward adds the fields that an instance expects to a request's head.
	Forward(h http.Header, f Forwarded)
	// Answer reads the fields of an instance's answer; the head itself is passed on as it is.
	Answer(status int, h http.Header) InstanceHead
	// Refuse adds what tells a caller about an answer that is not an instance's.
	Refuse(h http.Header, requestID string, retryAfter time.Duration)
}

// CallerHead is what a caller says of its request.
type CallerHead struct {
	// RequestID names this attempt; it is empty if the caller gave none.
	RequestID string
	// Timeout is how long the caller waits, 0 if it doesn't say.
	Timeout time.Duration
	// Key is the organisation's key, empty if there is none.
	Key string
}

// Forwarded is what an instance is told beside the caller's own head.
type Forwarded struct {
	RequestID    string
	Timeout      time.Duration
	Instance     string
	Organisation string
	// CallerService is the service beside which the request began.
	CallerService string
}

// InstanceHead is what an instance says with its answer.
type InstanceHead struct {
	RequestID string
	// NotRun means that the instance declined and did not run the request.
	NotRun bool
	// Authentic means that the answer bears the instance's signature.
	Authentic bool
	// Encoded means that the body is not the instance's own bytes.
	Encoded bool
}
