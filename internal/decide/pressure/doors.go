package pressure

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Throttles rejects requests at the ingress daemon that would fail for overload deeper in the call chain, before other services work on them.
//
// Designed for a slow service deep in the chain whose callers retry often. Each request would run at every service above it and then be
// refused at the last, so that most of the fleet's work is wasted; and the services above, busy with it, refuse requests that could
// succeed. Only the responses to an organisation's own requests count, not the load that hosts report: a wrong report can't cause
// rejections, and the refusals of one organisation's requests don't throttle another.
type Throttles struct {
	mu        sync.Mutex
	throttles map[key]*throttle
	rand      func() float64
}

// key identifies a throttle.
type key struct {
	organisation string
	operation    string
}

// Option configures a Throttles.
type Option func(*Throttles)

// WithRand sets the random source, which returns numbers in [0, 1).
func WithRand(random func() float64) Option { return func(ts *Throttles) { ts.rand = random } }

// maxThrottles bounds the throttles that are kept; a refusal adds one, and it is removed after recovery.
const maxThrottles = 4096

// New returns a Throttles that admits all requests.
func New(opts ...Option) *Throttles {
	ts := &Throttles{throttles: map[key]*throttle{}, rand: rand.Float64}
	for _, opt := range opts {
		opt(ts)
	}
	return ts
}

// Admit reports whether the request is admitted, and its Retry-After delay if it isn't.
func (ts *Throttles) Admit(now time.Time, organisation, operation string) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if len(ts.throttles) == 0 {
		return 0, true
	}
	t := ts.throttles[key{organisation, operation}]
	if t == nil {
		return 0, true
	}
	t.decay(now)
	probability := t.rejectProbability()
	if probability == 0 || ts.rand() >= probability {
		t.pending++
		t.adjustHalfLife()
		return 0, true
	}
	t.rejected++
	t.adjustHalfLife()
	retryAfter := time.Duration(float64(t.retryAfter) * (minJitterFactor + jitterFactorRange*ts.rand()))
	return min(max(retryAfter, minRetryAfter), maxRetryAfter), false
}

// minJitterFactor and jitterFactorRange set the random factor of Retry-After delays, 0.75 to 1.25.
const (
	minJitterFactor   = 0.75
	jitterFactorRange = 0.5
)

// Observe records the result of an admitted request: the pressure that its response carried, 0 to 1, and the Retry-After delay that its
// caller received.
func (ts *Throttles) Observe(now time.Time, organisation, operation string, pressure float64, retryAfter time.Duration) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	k := key{organisation, operation}
	t := ts.throttles[k]
	if t == nil {
		if pressure == 0 {
			return
		}
		t = ts.add(now, k)
	}
	t.decay(now)
	t.recordResponse(now, min(max(pressure, 0), 1))
	if pressure > 0 && retryAfter > 0 {
		t.retryAfter = retryAfter
	}
	if pressure == 0 && t.recovered(now) {
		delete(ts.throttles, k)
	}
}

// add adds the throttle of a first refusal.
func (ts *Throttles) add(now time.Time, k key) *throttle {
	if len(ts.throttles) >= maxThrottles {
		ts.removeUnused(now)
	}
	t := &throttle{updatedAt: now, halfLife: minHalfLife}
	ts.throttles[k] = t
	return t
}

// removeUnused removes the throttles without recent requests, or all throttles if the bound is still exceeded.
func (ts *Throttles) removeUnused(now time.Time) {
	for k, t := range ts.throttles {
		t.decay(now)
		if t.requests() < 1 {
			delete(ts.throttles, k)
		}
	}
	if len(ts.throttles) >= maxThrottles {
		clear(ts.throttles)
	}
}

// Len returns the number of throttles.
func (ts *Throttles) Len() int {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return len(ts.throttles)
}
