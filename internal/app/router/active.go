package router

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
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
	// cancel ends the request's context, nil while it has none; ended means that the daemon has ended the request.
	cancel atomic.Pointer[context.CancelFunc]
	ended  atomic.Bool
	// finishBy is when the run for another daemon must have ended, if that daemon said so after it had handed the request over.
	finishBy statedEnd
}

// progress says how far a request has come.
type progress struct {
	requestID string
	route     string
	// instance is the one that the current attempt is sent to, empty before the first attempt; since is when the attempt began.
	instance string
	// host is that of the instance.
	host     netip.Addr
	attempts int
	since    time.Time
	// run means that another daemon, on the host sender, handed the request to this one.
	run    bool
	sender netip.Addr
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

// list returns the requests.
func (a *activeRequests) list() []*activeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.requests))
}

// onEnd sets the function that ends the request's context.
func (a *activeRequest) onEnd(cancel context.CancelFunc) {
	a.cancel.Store(&cancel)
	if a.ended.Load() {
		cancel()
	}
}

// terminate ends the request.
func (a *activeRequest) terminate() {
	a.ended.Store(true)
	if cancel := a.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// attempt records that the request is sent to the instance.
func (a *activeRequest) attempt(req *request, inst routing.Instance, now time.Time) {
	a.progress.Store(&progress{requestID: req.id, route: req.route.Name, instance: inst.ID, host: inst.Address.Addr(), attempts: len(req.attempts) + 1, since: now})
}

// maxLoggedCuts bounds the log lines on requests that are cut when the daemon stops.
const maxLoggedCuts = 20

// endActive ends the requests that are in flight at the cutoff, so that each is answered before its connection closes, also those that have to wait
// for an earlier response on it.
func (r *Router) endActive() {
	now, cut := time.Now(), r.active.list()
	for i, active := range cut {
		if i < maxLoggedCuts {
			r.log.WithFields(active.fields(now)).Warn("request cut")
		}
		active.terminate()
	}
	if further := len(cut) - maxLoggedCuts; further > 0 {
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
