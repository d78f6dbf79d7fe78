package lineage

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Run is one request that the local instance is running.
type Run struct {
	// Route is the route on which the request came to this instance.
	Route string
	// Root names the route of the caller's request at the head of the call chain.
	Root string
	// Priority is that of the caller's request.
	Priority call.Priority
	// Retry means that the run is a retry, or was called by one.
	Retry bool

	deadline time.Time
	// calls counts the sub-calls attributed to the run, by their route.
	calls map[string]float64
	// partlyCounted means that the run began before its route's counts were reset.
	partlyCounted bool

	mu sync.Mutex
	// observed holds the mean saturation of each service that the run's sub-calls reached.
	observed map[string]*mean
	refused  bool
}

// mean is the mean of some values.
type mean struct {
	sum   float64
	count int
}

// Observe records the saturation of a service that one of the run's sub-calls reached, and whether the sub-call was refused.
func (r *Run) Observe(service string, saturation float64, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = r.refused || refused
	if r.observed == nil {
		r.observed = map[string]*mean{}
	}
	m := r.observed[service]
	if m == nil {
		m = &mean{}
		r.observed[service] = m
	}
	m.sum += saturation
	m.count++
}

// Saturation returns the highest saturation among the services that the run's sub-calls reached, and whether any sub-call was refused.
// The samples of one service are averaged: the maximum of ten samples looks saturated on a service with a third of its slots free.
func (r *Run) Saturation() (saturation float64, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.observed {
		saturation = max(saturation, m.sum/float64(m.count))
	}
	return saturation, r.refused
}

// Runs holds the active runs of the local instance, ordered by deadline.
//
// An instance doesn't name the parent in its sub-calls, but a sub-call usually has the deadline of its parent, and is attributed to the
// run with the same deadline. A sub-call with a shorter timeout of its own is attributed to a run of one of the routes that make such
// sub-calls, which is learned from the numbers of sub-calls and active runs (fit), and while that isn't enough from sub-calls whose parent is
// certain and from runs that fail right after a sub-call. Without this, a sub-call
// for a payment waits behind one for a lookup, and a lookup that must fail at a saturated service deep in the chain is admitted at the
// ingress daemon all the same.
type Runs struct {
	mu     sync.Mutex
	active []*Run
	rand   func() float64
	now    func() time.Time
	// callerShares holds the smoothed share of each calling route in the sub-calls on a route.
	callerShares map[routePair]float64
	// started counts all runs of a route and their sub-calls, succeeded only the runs that succeeded.
	started, succeeded map[string]*callCounts
	// matchFractions is the smoothed fraction of a route's sub-calls whose deadline matches that of an active run.
	matchFractions map[string]float64
	// coincidences counts, by the route of sub-calls, the runs that failed right after such a sub-call had failed.
	coincidences map[string]int
	// failures holds the failed sub-calls that no failed run has been attributed to yet, oldest first.
	failures []failure
	fit      *fit
}

type routePair struct{ caller, called string }

const (
	// deadlineTolerance is the maximum difference between the deadlines of a sub-call and its parent: both remaining times are sent
	// in whole milliseconds, and the sub-call takes a moment to arrive.
	deadlineTolerance = 4 * time.Millisecond
	// minMatchFraction is the fraction of a route's sub-calls whose deadline must match that of a run before a match counts as
	// certain: among many runs there is nearly always one whose deadline is near by chance.
	minMatchFraction = 0.7
	// matchWeight is the weight of one sub-call in the smoothed fraction.
	matchWeight = 0.05
	// callerShareWeight is the weight of one sub-call in the caller shares.
	callerShareWeight = 0.01
	// coincidenceWeight is the weight of a run that failed right after a sub-call: more than that of a choice, since it is evidence.
	// minCoincidences is the number of these from which on they alone move the shares; fewer may be chance.
	coincidenceWeight = 0.03
	minCoincidences   = 5
	// callerSharePrior is added to each caller share, so that runs of unknown routes can be chosen as parents too.
	callerSharePrior = 0.005
	// minCallerShare is the share in a route's sub-calls above which a calling route is taken to make them: a few sub-calls are always
	// attributed to the wrong run, and they weigh much on a route with few runs.
	minCallerShare = 0.05
)

// Option configures a Runs.
type Option func(*Runs)

// WithRand sets the random source, which returns numbers in [0, 1).
func WithRand(random func() float64) Option { return func(r *Runs) { r.rand = random } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(r *Runs) { r.now = now } }

// New returns a Runs without active runs.
func New(opts ...Option) *Runs {
	r := &Runs{rand: rand.Float64, now: time.Now, callerShares: map[routePair]float64{}, started: map[string]*callCounts{}, succeeded: map[string]*callCounts{}, matchFractions: map[string]float64{}, coincidences: map[string]int{}, fit: newFit()}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Begin adds a run; deadline is the one that was sent to the instance.
func (r *Runs) Begin(run *Run, deadline time.Time) {
	run.deadline = deadline
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = slices.Insert(r.active, r.indexByDeadline(deadline), run)
	countsFor(r.started, run.Route).add(1, nil)
	r.countInFit(run.Route, 1)
}

// End removes a run; succeeded means that its instance responded without a failure.
func (r *Runs) End(run *Run, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if succeeded && !run.partlyCounted {
		countsFor(r.succeeded, run.Route).add(1, run.calls)
	}
	r.countInFit(run.Route, -1)
	for i := r.indexByDeadline(run.deadline); i < len(r.active); i++ {
		if r.active[i] == run {
			r.active = slices.Delete(r.active, i, i+1)
			return
		}
	}
}

// indexByDeadline returns the index of the first active run that ends at the deadline or later.
func (r *Runs) indexByDeadline(deadline time.Time) int {
	index, _ := slices.BinarySearchFunc(r.active, deadline, func(run *Run, deadline time.Time) int { return run.deadline.Compare(deadline) })
	return index
}

// Parent returns the run that a sub-call on the route most likely belongs to, or nil if no active run ends late enough.
func (r *Runs) Parent(route string, deadline time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.indexByDeadline(deadline.Add(-deadlineTolerance))
	candidates := r.active[first:]
	if len(candidates) == 0 {
		return nil
	}
	match := matchDeadline(candidates, deadline)
	if r.deadlinesMatch(route, match != nil) && match != nil {
		r.recordCaller(match.Route, route, callerShareWeight)
		r.recordCall(match, route)
		return match
	}
	r.fit.addCall(route)
	if chosen := r.drawCertainParent(candidates, route); chosen != nil {
		r.recordCall(chosen, route)
		return chosen
	}
	chosen := r.drawParent(candidates, route)
	if r.callerShares[routePair{chosen.Route, route}] >= minCallerShare {
		r.recordCall(chosen, route)
	}
	return chosen
}

// deadlinesMatch records whether a sub-call on the route matched a run's deadline, and reports whether enough of the route's sub-calls
// do for a match to be certain.
func (r *Runs) deadlinesMatch(route string, matched bool) bool {
	fraction, known := r.matchFractions[route]
	if !known {
		fraction = 0.5
	}
	fraction *= 1 - matchWeight
	if matched {
		fraction += matchWeight
	}
	r.matchFractions[route] = fraction
	return fraction >= minMatchFraction
}

// matchDeadline returns the run with the deadline nearest to the given one, within the tolerance, or nil.
func matchDeadline(candidates []*Run, deadline time.Time) *Run {
	var best *Run
	for _, run := range candidates {
		offset := run.deadline.Sub(deadline)
		if offset > deadlineTolerance {
			break
		}
		if best == nil || offset.Abs() < best.deadline.Sub(deadline).Abs() {
			best = run
		}
	}
	return best
}

// drawParent chooses one of the runs at random, weighted by the shares of their routes in such sub-calls.
//
// The choice itself says little: where other runs outnumber those that make the sub-calls, as when these fail early, it would move the
// shares to the wrong route. It counts only until enough runs have failed together with such sub-calls.
func (r *Runs) drawParent(candidates []*Run, route string) *Run {
	total := 0.0
	for _, run := range candidates {
		total += r.callerWeight(run, route)
	}
	remaining := r.rand() * total
	chosen := candidates[len(candidates)-1]
	for _, run := range candidates {
		if remaining -= r.callerWeight(run, route); remaining < 0 {
			chosen = run
			break
		}
	}
	if r.coincidences[route] < minCoincidences {
		r.recordCaller(chosen.Route, route, callerShareWeight)
	}
	return chosen
}

func (r *Runs) callerWeight(run *Run, route string) float64 {
	return r.callerShares[routePair{run.Route, route}] + callerSharePrior
}

// recordCaller moves the caller shares of the called route towards this caller by the weight.
func (r *Runs) recordCaller(caller, called string, weight float64) {
	for pair, share := range r.callerShares {
		if pair.called == called {
			r.callerShares[pair] = share * (1 - weight)
		}
	}
	r.callerShares[routePair{caller, called}] += weight
	if len(r.callerShares) > maxRoutePairs {
		r.forget()
	}
}

// forget drops all that was learned.
func (r *Runs) forget() {
	clear(r.callerShares)
	clear(r.started)
	clear(r.succeeded)
	clear(r.matchFractions)
	clear(r.coincidences)
	r.fit = newFit()
}

// maxRoutePairs bounds the state that is kept over many configuration changes.
const maxRoutePairs = 1024

// Len returns the number of active runs.
func (r *Runs) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}
