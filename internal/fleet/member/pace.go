package member

import "time"

// probeLimiter bounds the rate of probes, which are attempts to reach hosts with failures.
//
// Designed for regions that are partitioned for an hour: the neighbours in the other region become suspects one by one,
// hundreds in the end. If each were probed every probeInterval, every daemon would open hundreds of connections a second,
// which shows as processor time without traffic. When a suspect replies again, others probably do too, and get no work
// until they are probed; so the rate is higher for a while.
type probeLimiter struct {
	// allowed is the number of probes that may be sent at once, as in a token bucket, at the time updatedAt.
	allowed   float64
	updatedAt time.Time
	// fastProbes is how many more probes are sent at the higher rate.
	fastProbes int
}

const (
	// probesPerSecond is the rate while no suspect replies: up to 20 suspects are probed every probeInterval.
	probesPerSecond = 10
	// fastProbesPerSecond probes a thousand suspects in ten seconds.
	fastProbesPerSecond = 100
	// fastProbesPerReply is how many probes one reply speeds up; a bounded number, so that one host that is reachable now and then doesn't keep the rate high.
	fastProbesPerReply = 20
)

func (l *probeLimiter) speedUp() { l.fastProbes = fastProbesPerReply }

// take returns how many of the due probes may be sent now.
func (l *probeLimiter) take(due int, now time.Time) int {
	rate := float64(probesPerSecond)
	if l.fastProbes > 0 {
		rate = fastProbesPerSecond
	}
	l.allowed = min(l.allowed+rate*now.Sub(l.updatedAt).Seconds(), rate)
	l.updatedAt = now
	count := min(due, int(l.allowed))
	l.allowed -= float64(count)
	l.fastProbes = max(l.fastProbes-count, 0)
	return count
}
