package bootstrap

import (
	"sync"
	"time"
)

const (
	// linkDivisor divides the bandwidth of the host's link: complete copies for starting daemons may use a quarter, the rest is for requests.
	linkDivisor = 4
	// defaultLinkBytes is the bandwidth of a link, in bytes per second, if the settings don't say.
	defaultLinkBytes = 25_000_000
	// burstTime is how long a link is used for copies that are sent at once, at its full bandwidth.
	burstTime = 100 * time.Millisecond
)

// Limiter bounds the bytes that a daemon spends on complete copies for starting daemons. Without it, the copies for a whole fleet would share
// the link of a seed, and all of them would arrive too late. Copies that the daemon has announced are sent in any case, and leave less for others.
type Limiter struct {
	mu sync.Mutex
	// perSecond is what the copies may use. left is what may be sent now; it is negative after a copy that was longer.
	perSecond, burst, left float64
	updated                time.Time
}

// NewLimiter returns a limiter for a link of so many bytes per second, 0 if unknown.
func NewLimiter(linkBytes int) *Limiter {
	if linkBytes <= 0 {
		linkBytes = defaultLinkBytes
	}
	burst := float64(linkBytes) * burstTime.Seconds()
	return &Limiter{perSecond: float64(linkBytes) / linkDivisor, burst: burst, left: burst}
}

// Allow reports whether a copy of so many bytes may be sent now, and counts it if so.
func (l *Limiter) Allow(bytes int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if l.left <= 0 {
		return false
	}
	l.left -= float64(bytes)
	return true
}

// Count counts a copy of so many bytes that is sent in any case.
func (l *Limiter) Count(bytes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.left -= float64(bytes)
}

func (l *Limiter) refill(now time.Time) {
	if !l.updated.IsZero() {
		l.left = min(l.left+now.Sub(l.updated).Seconds()*l.perSecond, l.burst)
	}
	l.updated = now
}
