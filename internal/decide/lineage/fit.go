package lineage

import (
	"maps"
	"slices"
	"time"
)

// fit estimates by least squares which routes make sub-calls whose parents are uncertain, from the numbers of sub-calls and of runs in
// successive intervals. It needs no guess about single sub-calls, so it can't confirm its own errors.
//
// Only deviations from the recent means count: the sub-calls a run change when they begin to fail, often together with the mix of the
// routes, and the levels before and after such a change taken together would point to routes without sub-calls.
type fit struct {
	routes []string
	// active has the number of active runs of each route, since changedAt, and runs the time for which runs were active in the current
	// interval, in seconds over all of them.
	active    []int
	changedAt time.Time
	runs      []series
	// products has the decayed sums of the products of the deviations of each two routes.
	products [][]float64
	targets  map[string]*fitTarget
	// startedAt is the start of the current interval and length its duration; events are the runs that began or ended in it.
	startedAt time.Time
	length    time.Duration
	events    int
	// excess means that the interval had runs of a route for which there is no room, so that no caller is certain.
	excess bool
	// intervals is the decayed number of intervals.
	intervals float64
}

// fitTarget has the numbers of sub-calls on one route.
type fitTarget struct {
	calls series
	// products are the decayed sums of the products with the deviations of each route, square that of the squares.
	products []float64
	square   float64
	// callers has the share in the sub-calls of each route that certainly makes them, as last found, or nil before.
	callers map[string]float64
	// solution is the one of callers, and contradictions counts the last intervals in a row that contradict it to the same side, negative for
	// fewer sub-calls.
	solution       solution
	contradictions int
	// applied are the callers whose sub-calls are counted.
	applied map[string]float64
}

// current reports whether the callers are known and nothing has changed since.
func (t *fitTarget) current() bool { return t != nil && t.callers != nil && t.solution.variance > 0 }

// series is a number that is counted by intervals.
type series struct{ count, mean, deviation float64 }

// next ends an interval.
func (s *series) next(first bool) {
	if first {
		s.mean = s.count
	}
	s.deviation = s.count - s.mean
	s.mean += s.deviation / meanMemory
	s.count = 0
}

const (
	// maxFitRoutes and maxFitTargets bound the state; routes beyond them are left to the draw.
	maxFitRoutes  = 16
	maxFitTargets = 32
	// minIntervalLength and maxIntervalLength bound the length of an interval, which is residenceTimes mean durations of a run, so that most
	// sub-calls fall into the interval of their run.
	minIntervalLength = 25 * time.Millisecond
	maxIntervalLength = time.Second
	residenceTimes    = 2
	// lengthTolerance is the factor by which the length may be off.
	lengthTolerance = 2
	// meanMemory is the number of intervals over which means are taken.
	meanMemory = 10
	// maxDeviation is the squared deviation, in units of what independent arrivals have, from which on an interval weighs less: a change of the
	// load tells little about the runs.
	maxDeviation = 4
	// fitMemory is the number of intervals after which an interval weighs 1/e; minFitIntervals are needed for a result.
	fitMemory       = 120
	minFitIntervals = 10
	// certainty is the square of the number of standard errors by which a certain caller's sub-calls differ from none. Five make a chance
	// result rare with many pairs of routes, each tested several times a second.
	certainty = 25
	// minContradictions is the number of intervals in a row, each off by the square root of contradiction standard deviations to the same side,
	// that show a change of the callers or of their sub-calls a run.
	minContradictions = 3
	contradiction     = 9
	// minVariance is the smallest variance of the number of sub-calls in an interval, since the sub-calls of a run that spans two intervals
	// fall into either.
	minVariance = 1
	// minSquare is the decayed sum of squares below which a called route counts as no longer in use.
	minSquare = 0.1
	// minActiveTime is the mean time of active runs in an interval, in seconds, below which a route counts as no longer in use.
	minActiveTime = 1e-6
	// minActiveSquare is the decayed sum of squares from which on a route takes part in the solution.
	minActiveSquare = 1e-9
)

func newFit() *fit { return &fit{targets: map[string]*fitTarget{}} }

// index returns the index of a route, which is added if there is room, or -1.
func (f *fit) index(route string) int {
	for i, known := range f.routes {
		if known == route {
			return i
		}
	}
	if len(f.routes) == maxFitRoutes {
		f.excess = true
		return -1
	}
	f.routes = append(f.routes, route)
	f.active = append(f.active, 0)
	f.runs = append(f.runs, series{})
	for i := range f.products {
		f.products[i] = append(f.products[i], 0)
	}
	f.products = append(f.products, make([]float64, len(f.routes)))
	for _, t := range f.targets {
		t.products = append(t.products, 0)
	}
	return len(f.routes) - 1
}

// addRun records that a run of the route began (1) or ended (-1), and reports whether an interval has ended.
func (f *fit) addRun(route string, change int, now time.Time) bool {
	elapsed, total := now.Sub(f.changedAt).Seconds(), 0.0
	for i, active := range f.active {
		f.runs[i].count += float64(active) * elapsed
		total += f.runs[i].count
	}
	f.changedAt = now
	ended := now.Sub(f.startedAt) >= f.length
	if ended {
		f.endInterval()
		f.startInterval(total, now)
	}
	if i := f.index(route); i >= 0 {
		f.active[i] = max(f.active[i]+change, 0)
	}
	f.events++
	return ended
}

// startInterval starts an interval. Where runs last much longer than the intervals allow for, all start anew with longer ones.
func (f *fit) startInterval(activeTime float64, now time.Time) {
	duration := time.Duration(activeTime * 2 / float64(max(f.events, 1)) * float64(time.Second))
	needed := min(max(residenceTimes*duration, minIntervalLength), maxIntervalLength)
	if needed > lengthTolerance*f.length || lengthTolerance*needed < f.length {
		f.length = needed
		f.restart()
	}
	f.startedAt, f.events = now, 0
}

// addCall records a sub-call on the route whose parent is uncertain.
func (f *fit) addCall(route string) {
	t := f.targets[route]
	if t == nil && len(f.targets) < maxFitTargets {
		t = &fitTarget{products: make([]float64, len(f.routes))}
		f.targets[route] = t
	}
	if t != nil {
		t.calls.count++
	}
}

// endInterval adds the current interval to the sums and starts the next one.
func (f *fit) endInterval() {
	const decay = 1 - 1.0/fitMemory
	first := f.intervals == 0
	f.intervals = f.intervals*decay + 1
	weight := f.nextRuns(first)
	for i, a := range f.runs {
		for j, b := range f.runs {
			f.products[i][j] = f.products[i][j]*decay + weight*a.deviation*b.deviation
		}
	}
	changed := false
	for _, t := range f.targets {
		t.calls.next(first)
		changed = f.misfits(t) || changed
		t.square = t.square*decay + weight*t.calls.deviation*t.calls.deviation
		for i, a := range f.runs {
			t.products[i] = t.products[i]*decay + weight*a.deviation*t.calls.deviation
		}
		if callers := f.certainCallers(t); callers != nil {
			t.callers = callers
		}
	}
	maps.DeleteFunc(f.targets, func(_ string, t *fitTarget) bool { return t.square < minSquare && t.calls.mean < minSquare })
	switch {
	case f.excess && f.unused():
		// Some routes are those of a former configuration.
		*f = *newFit()
	case changed:
		f.restart()
	}
	f.excess = false
}

// misfits reports whether the last intervals contradict the solution of the target.
func (f *fit) misfits(t *fitTarget) bool {
	if t.solution.variance == 0 {
		return false
	}
	difference := t.calls.deviation
	for n, i := range t.solution.routes {
		difference -= t.solution.rate[n] * f.runs[i].deviation
	}
	switch {
	case difference*difference <= contradiction*t.solution.variance:
		t.contradictions = 0
	case difference > 0:
		t.contradictions = max(t.contradictions, 0) + 1
	default:
		t.contradictions = min(t.contradictions, 0) - 1
	}
	return t.contradictions >= minContradictions || t.contradictions <= -minContradictions
}

// restart drops all intervals, which were before a change. The callers last found stay until there are others.
func (f *fit) restart() {
	f.intervals = 0
	for i := range f.products {
		clear(f.products[i])
	}
	for _, t := range f.targets {
		clear(t.products)
		t.square, t.contradictions, t.solution = 0, 0, solution{}
	}
}

// nextRuns ends the interval of the runs and returns its weight.
func (f *fit) nextRuns(first bool) float64 {
	deviation := 0.0
	for i := range f.runs {
		r := &f.runs[i]
		expected := max(r.mean, f.length.Seconds()) * f.length.Seconds()
		r.next(first)
		if expected > 0 {
			deviation = max(deviation, r.deviation*r.deviation/expected)
		}
	}
	return min(1, maxDeviation/max(deviation, 1))
}

// certainCallers returns the share of each certain caller in the target's sub-calls, or nil if they don't account for all sub-calls.
func (f *fit) certainCallers(t *fitTarget) map[string]float64 {
	if f.excess || f.intervals < minFitIntervals {
		return nil
	}
	all := f.solve(t, f.present())
	var certain []int
	for n, i := range all.routes {
		if all.rate[n] > 0 && all.rate[n]*all.rate[n] >= certainty*all.variance*all.spread[n] {
			certain = append(certain, i)
		}
	}
	reduced := f.solve(t, certain)
	if len(certain) == 0 || reduced.residual > all.residual+certainty*all.variance {
		return nil
	}
	t.solution = reduced
	callers, total := map[string]float64{}, 0.0
	for n, i := range reduced.routes {
		calls := reduced.rate[n] * f.runs[i].mean
		callers[f.routes[i]] = calls
		total += calls
	}
	for route := range callers {
		callers[route] /= total
	}
	return callers
}

// unused reports whether a route has had no runs lately.
func (f *fit) unused() bool {
	return slices.ContainsFunc(f.runs, func(s series) bool { return s.mean < minActiveTime })
}

// present returns the indexes of the routes that have had runs lately.
func (f *fit) present() []int {
	var present []int
	for i := range f.routes {
		if f.products[i][i] > minActiveSquare {
			present = append(present, i)
		}
	}
	return present
}

// callersOf returns the share of each certain caller in the sub-calls on the route, or nil if they are uncertain.
func (f *fit) callersOf(route string) map[string]float64 {
	if t := f.targets[route]; t != nil {
		return t.callers
	}
	return nil
}
