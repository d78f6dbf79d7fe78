package quota

import "time"

// ShareLease is how long a daemon may use its share of the rates after it last heard from the configuration store or from most daemons.
//
// Without the lease, the smaller side of a network partition would go on with its share when the other side has given up on it and uses whole
// rates. It is shorter than the time for which the others reserve the share (see collect.Departures).
const ShareLease = 13 * time.Second

// leaseRetryAfter is the Retry-After delay of requests that are refused because the lease has ended.
const leaseRetryAfter = time.Second

// Renew extends the lease of this daemon's share to ShareLease after the given time. A daemon whose lease was never renewed doesn't need one.
func (q *Quota) Renew(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at.After(q.renewedAt) {
		q.renewedAt = at
	}
}

// leaseEnded reports whether this daemon must not use its share any more.
func (q *Quota) leaseEnded(now time.Time) bool {
	return !q.renewedAt.IsZero() && now.Sub(q.renewedAt) > ShareLease
}
