package lineage

import (
	"maps"
	"math"
)

// countInFit records that a run of the route began (1) or ended (-1). At the end of an interval, it applies what the fit has found.
func (r *Runs) countInFit(route string, change int) {
	if !r.fit.addRun(route, change, r.now()) {
		return
	}
	for called, target := range r.fit.targets {
		if target.callers != nil {
			r.applyCallers(called, target)
		}
	}
}

// applyCallers replaces the caller shares of the called route by those of its certain callers.
func (r *Runs) applyCallers(called string, target *fitTarget) {
	for caller, share := range target.callers {
		_, applied := target.applied[caller]
		if !applied && math.Abs(r.callerShare(caller, called)-share) > shareTolerance {
			r.restartCounts(caller)
		}
	}
	target.applied = target.callers
	maps.DeleteFunc(r.callerShares, func(pair routePair, _ float64) bool { return pair.called == called })
	for caller, share := range target.callers {
		r.callerShares[routePair{caller, called}] = max(share, minCallerShare)
	}
	for _, byRoute := range []map[string]*callCounts{r.started, r.succeeded} {
		for caller, counts := range byRoute {
			if _, ok := target.callers[caller]; !ok {
				delete(counts.calls, called)
			}
		}
	}
}

// restartCounts starts the counts of a route anew that has just been found to make sub-calls. Its active runs aren't counted, since
// sub-calls of theirs were attributed to others.
func (r *Runs) restartCounts(route string) {
	active := 0.0
	for _, run := range r.active {
		if run.Route == route {
			run.partlyCounted = true
			active++
		}
	}
	for _, byRoute := range []map[string]*callCounts{r.started, r.succeeded} {
		byRoute[route] = &callCounts{calls: map[string]float64{}, minRuns: max(minRestartedRuns, restartedRunsPerActive*active)}
	}
}

// callerShare returns the share of the caller in the sub-calls on the called route, as the draws have left it.
func (r *Runs) callerShare(caller, called string) float64 {
	total := 0.0
	for pair, share := range r.callerShares {
		if pair.called == called {
			total += share
		}
	}
	return r.callerShares[routePair{caller, called}] / max(total, callerSharePrior)
}

// drawCertainParent chooses the parent among the runs of certain callers: first the route by its share in the sub-calls, so that the number
// of its active runs doesn't matter, then any of its runs. It returns nil where callers are uncertain or none has an active run.
func (r *Runs) drawCertainParent(candidates []*Run, called string) *Run {
	counts := map[string]int{}
	callers := r.fit.callersOf(called)
	if callers == nil {
		return nil
	}
	total := 0.0
	for _, run := range candidates {
		if share, ok := callers[run.Route]; ok {
			if counts[run.Route] == 0 {
				total += share
			}
			counts[run.Route]++
		}
	}
	if total == 0 {
		return nil
	}
	remaining := r.rand() * total
	var last *Run
	for _, run := range candidates {
		if counts[run.Route] == 0 {
			continue
		}
		last = run
		if remaining -= callers[run.Route] / float64(counts[run.Route]); remaining < 0 {
			break
		}
	}
	return last
}
