package admission

import (
	"sync"
	"time"
)

// LongWaits bounds the number of the requests that may wait longer than a gate's default, and the size of their bodies. Several gates of
// one upstream may share it. The zero value is ready for use.
type LongWaits struct {
	mu       sync.Mutex
	requests int
	bytes    int
}

const (
	// maxLongWaitBytes bounds the bodies of the requests that wait longer, all of which are in memory.
	maxLongWaitBytes = 8 << 20
	// longTarget is the target latency above which a request may wait longer: below it, DefaultWait is an eighth of the target or more.
	longTarget = 2 * time.Second
	// targetDivisor and remainingDivisor divide the target and the remaining time: an instance that frees no slot within an eighth of the target
	// is worse than another one, and after the wait there must be time to run the request.
	targetDivisor    = 8
	remainingDivisor = 4
)

// LongPatience returns how long a request may wait by its target latency and its remaining time, or 0 if it is no longer than DefaultWait.
func LongPatience(target, remaining time.Duration) time.Duration {
	if target <= longTarget {
		return 0
	}
	if patience := min(target/targetDivisor, remaining/remainingDivisor); patience > DefaultWait {
		return patience
	}
	return 0
}

// Acquire reserves a place for a request, or returns false if there are maxRequests already or the bodies take too much. Release must follow when the wait ends.
func (w *LongWaits) Acquire(bodyBytes, maxRequests int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests >= maxRequests || w.bytes+bodyBytes > maxLongWaitBytes {
		return false
	}
	w.requests++
	w.bytes += bodyBytes
	return true
}

// Release ends the reservation of a request with a body of the given size.
func (w *LongWaits) Release(bodyBytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.bytes -= bodyBytes
}
