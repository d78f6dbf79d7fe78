package lineage

import (
	"slices"
	"time"
)

// failure is a call that failed, with the run that it was taken for a call of.
type failure struct {
	route  string
	parent *Run
	at     time.Time
}

const (
	// failureTime is how long after a call's failure a run may end for it: instances answer at once.
	failureTime = 100 * time.Millisecond
	// mostFailures bounds the failures that are kept.
	mostFailures = 256
)

// CallFailed takes in that a call on the route failed, which was taken for one of the parent's.
func (r *Runs) CallFailed(parent *Run, route string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	if len(r.failures) < mostFailures {
		r.failures = append(r.failures, failure{route, parent, now})
	}
}

// CausedByCall reports whether the failure of a run that has just ended is that of a call. Each failed call explains one run: one that
// is taken for a call of it, or else one that a run of its route makes, since some calls are taken for those of other runs.
func (r *Runs) CausedByCall(run *Run, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	at := slices.IndexFunc(r.failures, func(f failure) bool { return f.parent == run })
	if at < 0 {
		at = slices.IndexFunc(r.failures, func(f failure) bool { return r.calls[pair{run.Route, f.route}] >= makerShare })
	}
	if at < 0 {
		return false
	}
	r.failures = slices.Delete(r.failures, at, at+1)
	return true
}

// forget drops the failures that explain nothing any more.
func (r *Runs) forget(now time.Time) {
	r.failures = slices.DeleteFunc(r.failures, func(f failure) bool { return now.Sub(f.at) > failureTime })
}
