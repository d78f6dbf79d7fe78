package lineage

import "time"

// maxSubcallDelay is how much later than its parent's a sub-call's deadline may seem: its time is stated when the instance sends it and counts from
// its arrival, which on a busy host is a while after.
const maxSubcallDelay = 100 * time.Millisecond

// MayHaveParent reports whether an active run can have made a sub-call with the deadline. A sub-call has no more time than its parent, so a request
// with a later deadline than all runs is certainly none.
func (r *Runs) MayHaveParent(deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.indexByDeadline(deadline.Add(-maxSubcallDelay)) < len(r.active)
}
