package admission

import (
	"sync"
	"time"
)

// Pacer limits the rate of starts on an upstream that is warming up, or that states how many requests a second it takes. Both may hold at once.
//
// Designed for an upstream that crashes if it receives many requests a second right after its start. Without it, an upstream that returns at
// the top of a surge crashes again, and so do its replacements: the surge outlasts its cause.
type Pacer struct {
	mu sync.Mutex
	// warmUp holds until the given time.
	warmUp spacing
	until  time.Time
	// limit holds the upstream's rate limit; its interval is 0 without one.
	limit spacing
	// changed is closed when the pacing changes; nil if nobody waits for that.
	changed chan struct{}
}

// spacing is a minimum time between starts.
type spacing struct {
	interval time.Duration
	// next is the earliest time of the next start.
	next time.Time
}

const (
	// pacedPeriod is the period in which the starts are limited; earlier ones don't delay the next.
	pacedPeriod = time.Second
	// maxLimitInterval is the longest time between two starts under a rate limit: only a response shows that the limit has ended.
	maxLimitInterval = 5 * time.Second
	// indefinite stands for the remaining time of a rate limit, whose end isn't known.
	indefinite = 24 * time.Hour
)

// spend counts a start.
func (s *spacing) spend(now time.Time) {
	if s.next.Before(now) {
		s.next = now
	}
	s.next = earlier(s.next.Add(s.interval), now.Add(max(pacedPeriod, s.interval)))
}

func (s *spacing) giveBack() { s.next = s.next.Add(-s.interval) }

// Pace limits the starts in any second to perSecond until the given time, while the upstream is warming up.
func (p *Pacer) Pace(perSecond float64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A second that begins with a start holds one more than the intervals that fit in it.
	spaced := max(perSecond-1, perSecond/2)
	p.warmUp.interval, p.until = time.Duration(float64(time.Second)/spaced), until
	p.announce()
}

// Stop ends the pacing of the warm-up.
func (p *Pacer) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
	p.announce()
}

// Limit limits the starts to perSecond, as the upstream asks, until Unlimit. Starts at an upstream that takes none are maxLimitInterval apart.
func (p *Pacer) Limit(perSecond float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := maxLimitInterval
	if perSecond > 1/maxLimitInterval.Seconds() {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	p.limit.interval = interval
	p.limit.next = earlier(p.limit.next, now.Add(interval))
	p.announce()
}

// Unlimit ends the upstream's rate limit.
func (p *Pacer) Unlimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = spacing{}
	p.announce()
}

// announce wakes those who wait for a change.
func (p *Pacer) announce() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Spend counts a start that take has not allowed, such as that of a health check. It doesn't count for the upstream's rate limit: at one
// below the rate of the checks, nothing else would ever start.
func (p *Pacer) Spend(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUp.spend(now)
}

// Interval returns the time between two starts, 0 if they aren't paced.
func (p *Pacer) Interval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.warmUpInterval(now), p.limit.interval)
}

// WarmUpInterval returns the time between two starts because of the warm-up, 0 if it has ended.
func (p *Pacer) WarmUpInterval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.warmUpInterval(now)
}

func (p *Pacer) warmUpInterval(now time.Time) time.Duration {
	if !now.Before(p.until) {
		return 0
	}
	return p.warmUp.interval
}

// limitInterval returns the time between two starts under the upstream's rate limit, 0 without one.
func (p *Pacer) limitInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit.interval
}

// limited reports whether the upstream's rate limit paces the starts, rather than its warm-up.
func (p *Pacer) limited(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit.interval > 0 && p.limit.interval >= p.warmUpInterval(now)
}

// nextLimited returns the time of the next start that the upstream's rate limit allows, the zero time without a limit.
func (p *Pacer) nextLimited() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit.interval == 0 {
		return time.Time{}
	}
	return p.limit.next
}

// remaining returns how much longer starts are paced.
func (p *Pacer) remaining(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit.interval > 0 {
		return indefinite
	}
	return max(p.until.Sub(now), 0)
}

// take counts a start, or returns false if it is too early for one.
func (p *Pacer) take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.next(now)) {
		return false
	}
	p.warmUp.spend(now)
	p.limit.spend(now)
	return true
}

// giveBack undoes a start that take has counted.
func (p *Pacer) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUp.giveBack()
	p.limit.giveBack()
}

// next returns the earliest time of the next start, the zero time if starts aren't paced.
func (p *Pacer) next(now time.Time) time.Time {
	var next time.Time
	if p.limit.interval > 0 {
		next = p.limit.next
	}
	if warm := earlier(p.warmUp.next, p.until); now.Before(p.until) && warm.After(next) {
		next = warm
	}
	return next
}

// resume returns when the next start may be possible, the zero time if starts aren't paced, and a channel that is closed when that changes.
func (p *Pacer) resume(now time.Time) (time.Time, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.next(now), p.changed
}
