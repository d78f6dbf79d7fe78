package lineage

import (
	"slices"
	"time"
)

// failure is a failed sub-call and the run that it was attributed to.
type failure struct {
	route    string
	parent   *Run
	failedAt time.Time
	// coincided means that a run has failed right after it.
	coincided bool
}

const (
	// failureTTL is how long after a sub-call's failure the failure of a run may be attributed to it: instances respond at once.
	failureTTL = 100 * time.Millisecond
	// coincidenceTTL is how long after a sub-call's failure the failure of a run says that its route makes such sub-calls: several times what
	// the two responses take.
	coincidenceTTL = 20 * time.Millisecond
	// maxFailures bounds the failures that are kept.
	maxFailures = 256
)

// CallFailed records that a sub-call on the route failed that was attributed to the parent.
func (r *Runs) CallFailed(parent *Run, route string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredFailures(now)
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, failure{route: route, parent: parent, failedAt: now})
	}
}

// CausedByCall reports whether the failure of a run that has just ended is attributed to a failed sub-call. Each failed sub-call
// accounts for one run: the run that it was attributed to, or else one whose route makes such sub-calls, since some sub-calls are
// attributed to the wrong run.
func (r *Runs) CausedByCall(run *Run, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredFailures(now)
	r.recordCoincidence(run, now)
	index := slices.IndexFunc(r.failures, func(f failure) bool { return f.parent == run })
	if index < 0 {
		index = slices.IndexFunc(r.failures, func(f failure) bool { return r.callerShares[routePair{run.Route, f.route}] >= minCallerShare })
	}
	if index < 0 {
		return false
	}
	r.failures = slices.Delete(r.failures, index, index+1)
	return true
}

// recordCoincidence takes the failure of a run right after that of a sub-call as a sign that its route makes such sub-calls. Sub-calls with
// the deadlines of their parents need none.
func (r *Runs) recordCoincidence(run *Run, now time.Time) {
	index := slices.IndexFunc(r.failures, func(f failure) bool {
		return !f.coincided && now.Sub(f.failedAt) <= coincidenceTTL && r.matchFractions[f.route] < minMatchFraction
	})
	if index < 0 {
		return
	}
	f := &r.failures[index]
	f.coincided = true
	if r.fit.callersOf(f.route) != nil {
		return
	}
	r.coincidences[f.route]++
	r.recordCaller(run.Route, f.route, coincidenceWeight)
}

// dropExpiredFailures drops the failures that are too old to be the cause of a run's failure.
func (r *Runs) dropExpiredFailures(now time.Time) {
	r.failures = slices.DeleteFunc(r.failures, func(f failure) bool { return now.Sub(f.failedAt) > failureTTL })
}
