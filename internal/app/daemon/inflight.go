package daemon

import (
	"slices"
	"sync/atomic"
	"time"
)

// inFlight counts the requests at work, by those that began before and after a moment.
type inFlight struct {
	total   atomic.Int64
	current atomic.Pointer[generation]
	// draining belongs to the thread that stops the daemon.
	draining []*generation
}

// generation is the requests that began between two moments.
type generation struct {
	count atomic.Int64
	total *atomic.Int64
}

func newInFlight() *inFlight {
	f := &inFlight{}
	f.current.Store(&generation{total: &f.total})
	return f
}

// begin counts a request until the end of what it returns.
//
// It looks again after it has counted: a drain that began in between may
// have found nobody at work, and would pass on idempotency keys without this request's.
func (f *inFlight) begin() *generation {
	f.total.Add(1)
	for {
		g := f.current.Load()
		g.count.Add(1)
		if f.current.Load() == g {
			return g
		}
		g.count.Add(-1)
	}
}

func (g *generation) end() {
	g.count.Add(-1)
	g.total.Add(-1)
}

const drainPollInterval = 10 * time.Millisecond

// drain waits until the requests that are at work now have ended, at most for the limit.
//
// Callers that don't go elsewhere send all the while. Were the wait for a moment without
// any request, a daemon of a busy service would take its whole drain time, and
// longer than the platform leaves it, to pass on its idempotency keys.
func (f *inFlight) drain(limit time.Duration) {
	f.draining = append(f.draining, f.current.Swap(&generation{total: &f.total}))
	for end := time.Now().Add(limit); f.pending() && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}

// pending reports whether a request that began before the last drain is at work.
func (f *inFlight) pending() bool {
	f.draining = slices.DeleteFunc(f.draining, func(g *generation) bool { return g.count.Load() <= 0 })
	return len(f.draining) > 0
}
