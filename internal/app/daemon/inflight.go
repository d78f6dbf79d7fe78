package daemon

import (
	"slices"
	"sync/atomic"
	"time"
)

// inFlight counts the requests in flight, separately for each interval between two drains.
type inFlight struct {
	total   atomic.Int64
	current atomic.Pointer[generation]
	// draining holds the generations that began before the last drain; only the goroutine that stops the daemon uses it.
	draining []*generation
}

// generation counts the requests that began between two drains.
type generation struct {
	count atomic.Int64
	total *atomic.Int64
}

func newInFlight() *inFlight {
	f := &inFlight{}
	f.current.Store(&generation{total: &f.total})
	return f
}

// begin counts a request until the end method of the returned generation is called.
//
// It loads the current generation a second time after counting: a drain that began in between may have seen no
// request in flight, and the daemon would transfer its idempotency keys without the one of this request.
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

// drain waits until the requests that are in flight when it is called have ended, at most for the limit.
//
// It doesn't wait for a moment without any request. Some callers keep sending until their connection is closed, so a
// daemon of a busy service would use up its whole drain time, which is longer than the platform allows for the
// transfer of its idempotency keys.
func (f *inFlight) drain(limit time.Duration) {
	f.draining = append(f.draining, f.current.Swap(&generation{total: &f.total}))
	for end := time.Now().Add(limit); f.pending() && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}

// pending reports whether a request that began before the last drain is still in flight.
func (f *inFlight) pending() bool {
	f.draining = slices.DeleteFunc(f.draining, func(g *generation) bool { return g.count.Load() <= 0 })
	return len(f.draining) > 0
}
