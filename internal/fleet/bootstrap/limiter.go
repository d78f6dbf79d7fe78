package bootstrap

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linkDivisor divides the bandwidth of the host's link: complete copies for starting daemons may use half, the rest is for requests.
	linkDivisor = 2
	// defaultLinkBytes is the bandwidth of a link, in bytes per second, if the settings don't say.
	defaultLinkBytes = 25_000_000
	// burstTime is how long a link is used for copies that are sent at once, at its full bandwidth.
	burstTime = 100 * time.Millisecond
)

// Limiter bounds the bytes that a daemon spends on complete copies for starting daemons that ask it unannounced. Without it, the copies for a
// whole fleet would share the link of a seed, and all of them would arrive too late.
type Limiter struct{ limiter *rate.Limiter }

// NewLimiter returns a limiter for a link of so many bytes per second, 0 if unknown.
func NewLimiter(linkBytes int) *Limiter {
	if linkBytes <= 0 {
		linkBytes = defaultLinkBytes
	}
	burst := max(int(float64(linkBytes)*burstTime.Seconds()), 1)
	return &Limiter{rate.NewLimiter(rate.Limit(float64(linkBytes)/linkDivisor), burst)}
}

// Allow reports whether a copy of so many bytes may be sent now. A copy that is larger than what may be sent at once counts as that.
func (l *Limiter) Allow(bytes int, now time.Time) bool {
	return l.limiter.AllowN(now, min(bytes, l.limiter.Burst()))
}
