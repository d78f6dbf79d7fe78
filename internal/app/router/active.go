package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// activeRequests holds the requests in flight: those of callers, and the runs for other daemons.
type activeRequests struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

// activeRequest is one request in flight.
type activeRequest struct {
	arrivedAt time.Time
	// progress is nil until the request is read.
	progress atomic.Pointer[progress]
}

// progress says how far a request has come.
type progress struct {
	requestID string
	route     string
	// instance is the one that the current attempt is sent to, empty before the first attempt; since is when the attempt began.
	instance string
	attempts int
	since    time.Time
	// run means that another daemon handed the request to this one.
	run bool
}

func newActiveRequests() *activeRequests {
	return &activeRequests{requests: map[*activeRequest]struct{}{}}
}

// begin adds a request; end must follow.
func (a *activeRequests) begin(arrivedAt time.Time) *activeRequest {
	active := &activeRequest{arrivedAt: arrivedAt}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[active] = struct{}{}
	return active
}

func (a *activeRequests) end(active *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, active)
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// list returns up to limit requests, and the number of all.
func (a *activeRequests) list(limit int) ([]*activeRequest, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make([]*activeRequest, 0, min(limit, len(a.requests)))
	for active := range a.requests {
		if len(listed) == limit {
			break
		}
		listed = append(listed, active)
	}
	return listed, len(a.requests)
}

// attempt records that the request is sent to the instance.
func (a *activeRequest) attempt(req *request, instance string, now time.Time) {
	a.progress.Store(&progress{requestID: req.id, route: req.route.Name, instance: instance, attempts: len(req.attempts) + 1, since: now})
}

// maxLoggedCuts bounds the log lines on requests that are cut when the daemon stops.
const maxLoggedCuts = 20

// logCut logs the requests that are in flight when the daemon closes its connections.
func (r *Router) logCut(now time.Time) {
	cut, count := r.active.list(maxLoggedCuts)
	for _, active := range cut {
		r.log.WithFields(active.fields(now)).Warn("request cut")
	}
	if further := count - len(cut); further > 0 {
		r.log.WithField("count", further).Warn("further requests cut")
	}
}

func (a *activeRequest) fields(now time.Time) logrus.Fields {
	fields := logrus.Fields{"ageMs": now.Sub(a.arrivedAt).Milliseconds()}
	if p := a.progress.Load(); p != nil {
		fields["requestId"], fields["route"], fields["run"] = p.requestID, p.route, p.run
		if p.instance != "" {
			fields["instance"], fields["attempts"], fields["attemptMs"] = p.instance, p.attempts, now.Sub(p.since).Milliseconds()
		}
	}
	return fields
}
