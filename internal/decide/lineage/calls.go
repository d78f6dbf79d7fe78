package lineage

import (
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// callCounts counts the runs of a route and their sub-calls by the route called. The counts decay, so they aren't whole numbers.
type callCounts struct {
	runs  float64
	calls map[string]float64
	// minRuns is how many runs are needed before the counts are used.
	minRuns float64
}

const (
	// maxCountedRuns is the number of runs after which all counts of the route are halved: several seconds' worth on a busy instance.
	maxCountedRuns = 200
	// minSucceededRuns is how many successful runs are needed before the sub-calls per run are taken from successful runs alone.
	minSucceededRuns = 3
	// After a restart of the counts, minRestartedRuns are needed, and restartedRunsPerActive for each that was active: short runs end first.
	minRestartedRuns       = 10
	restartedRunsPerActive = 2
	// shareTolerance is how far a caller share may have been off before the counts start anew.
	shareTolerance = 0.05
)

// countsFor returns the counts of the route and adds empty ones for a new route.
func countsFor(byRoute map[string]*callCounts, route string) *callCounts {
	counts := byRoute[route]
	if counts == nil {
		counts = &callCounts{calls: map[string]float64{}, minRuns: 1}
		byRoute[route] = counts
	}
	return counts
}

func (c *callCounts) add(runs float64, calls map[string]float64) {
	c.runs += runs
	for route, count := range calls {
		c.calls[route] += count
	}
	if c.runs > maxCountedRuns {
		c.halve()
	}
}

func (c *callCounts) halve() {
	c.runs /= 2
	c.minRuns = 1
	for route := range c.calls {
		c.calls[route] /= 2
	}
}

// callsPerRun returns the mean number of sub-calls of a run by the route called.
func (c *callCounts) callsPerRun() map[string]float64 {
	mean := make(map[string]float64, len(c.calls))
	for route, count := range c.calls {
		mean[route] = count / c.runs
	}
	return mean
}

// recordCall counts a sub-call on the route that was attributed to the run.
func (r *Runs) recordCall(run *Run, route string) {
	if run.calls == nil {
		run.calls = map[string]float64{}
	}
	run.calls[route]++
	countsFor(r.started, run.Route).calls[route]++
}

// Calls returns the mean number of sub-calls that a run of each route makes, by the route called. Failed runs end before they have
// made all of theirs, so only successful runs are counted on routes that have enough of them.
func (r *Runs) Calls() graph.Edges {
	r.mu.Lock()
	defer r.mu.Unlock()
	edges := graph.Edges{}
	for route, counts := range r.started {
		if succeeded := r.succeeded[route]; succeeded != nil && succeeded.runs >= max(minSucceededRuns, succeeded.minRuns) {
			counts = succeeded
		}
		// There may be sub-calls without a run: the counts were cleared while the run was active.
		if counts.runs >= counts.minRuns && len(counts.calls) > 0 {
			edges[route] = counts.callsPerRun()
		}
	}
	r.addMissingEdges(edges)
	return edges
}

// CertainlyCalled returns the routes whose callers are certain, so that the edges to them are.
func (r *Runs) CertainlyCalled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var certain []string
	for route, fraction := range r.matchFractions {
		if fraction >= minMatchFraction || r.fit.targets[route].current() {
			certain = append(certain, route)
		}
	}
	slices.Sort(certain)
	return certain
}

// addMissingEdges adds edges of no sub-calls to the routes whose callers are known, from all other routes, so that edges learned earlier end.
func (r *Runs) addMissingEdges(edges graph.Edges) {
	for called, target := range r.fit.targets {
		for route := range r.started {
			if _, ok := target.callers[route]; ok || !target.current() {
				continue
			}
			if edges[route] == nil {
				edges[route] = map[string]float64{}
			}
			edges[route][called] = 0
		}
	}
}
