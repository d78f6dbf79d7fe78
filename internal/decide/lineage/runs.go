package lineage

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Run is one request that the instance beside the daemon is running.
type Run struct {
	// Route is the route on which the request came to this instance.
	Route string
	// Root names the route of the caller's request that all of this is for.
	Root string
	// Priority is that of the caller's request.
	Priority call.Priority
	// Retry tells that the run is a repeat, or was called by one.
	Retry bool

	deadline time.Time
	// calls are how many calls on each route were taken for the run's.
	calls map[string]float64

	mu      sync.Mutex
	met     map[string]*mean
	refused bool
}

// mean is the mean of some values.
type mean struct {
	sum   float64
	count int
}

// Observe takes in how full the service was that one of the run's calls has met, and whether the call was refused there.
func (r *Run) Observe(service string, fullness float64, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = r.refused || refused
	if r.met == nil {
		r.met = map[string]*mean{}
	}
	m := r.met[service]
	if m == nil {
		m = &mean{}
		r.met[service] = m
	}
	m.sum += fullness
	m.count++
}

// Saturation returns how full the fullest service was that the run's calls have met, and whether one of them was refused. Calls to
// one service count by their mean: the fullest moment out of ten looks full on a service that has a third of its slots free.
func (r *Run) Saturation() (fullness float64, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.met {
		fullness = max(fullness, m.sum/float64(m.count))
	}
	return fullness, r.refused
}

// Runs are the requests that the instance is running, by their deadlines.
//
// An instance names no parent in its calls, but a call ends when its parent does: the time that it says it has
// left points at the parent. Calls with a shorter time of their own are taken to be made by runs of the
// routes that make such calls, which is learned from the moments in which the parent is certain. Without
// that, a call for a payment waits behind one for a lookup, and a lookup that must fail for a full
// service deep down is let in at the front all the same.
type Runs struct {
	mu     sync.Mutex
	active []*Run
	rand   func() float64
	// calls are who makes the calls on a route, as smoothed shares.
	calls map[pair]float64
	// begun counts all runs of a route and their calls, and ended those that ended well.
	begun, ended map[string]*tally
	// points is the part of a route's calls that point at a parent.
	points map[string]float64
	// failures are the calls that have failed and explain no failed run yet, oldest first.
	failures []failure
}

type pair struct{ from, to string }

const (
	// slack is how far the time that a call has left may be from its parent's: both are told in whole milliseconds, and the
	// call takes a moment to arrive.
	slack = 4 * time.Millisecond
	// told is the part of a route's calls that must point at a parent for one that does to count as certain: with many runs
	// there is nearly always one whose deadline is near by chance. toldWeight is the weight of one call in it.
	told       = 0.7
	toldWeight = 0.05
	// learnWeight is the weight of one call in what is known of who makes such calls.
	learnWeight = 0.01
	// unknownWeight lets routes of which nothing is known be taken for parents too.
	unknownWeight = 0.005
	// makerShare is the part of the calls on a route from which on those that seem to make them do: a few are always taken
	// for calls of the wrong run, and they weigh much on a route with few runs.
	makerShare = 0.05
)

// Option sets one property of runs.
type Option func(*Runs)

// WithRand sets the source of chance, numbers from 0 to 1.
func WithRand(f func() float64) Option { return func(r *Runs) { r.rand = f } }

// New returns runs without any.
func New(opts ...Option) *Runs {
	r := &Runs{rand: rand.Float64, calls: map[pair]float64{}, begun: map[string]*tally{}, ended: map[string]*tally{}, points: map[string]float64{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Begin notes a run whose deadline was told to the instance.
func (r *Runs) Begin(run *Run, deadline time.Time) {
	run.deadline = deadline
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = slices.Insert(r.active, r.search(deadline), run)
	tallyOf(r.begun, run.Route).add(1, nil)
}

// End forgets a run that is over; well means that its instance answered without a failure.
func (r *Runs) End(run *Run, well bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if well {
		tallyOf(r.ended, run.Route).add(1, run.calls)
	}
	for at := r.search(run.deadline); at < len(r.active); at++ {
		if r.active[at] == run {
			r.active = slices.Delete(r.active, at, at+1)
			return
		}
	}
}

func (r *Runs) search(deadline time.Time) int {
	at, _ := slices.BinarySearchFunc(r.active, deadline, func(run *Run, at time.Time) int { return run.deadline.Compare(at) })
	return at
}

// Parent returns the run that a call on the route belongs to, as far as can be told; nil where none can be it.
func (r *Runs) Parent(route string, deadline time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.search(deadline.Add(-slack))
	later := r.active[at:]
	if len(later) == 0 {
		return nil
	}
	near := nearest(later, deadline)
	if r.pointing(route, near != nil) && near != nil {
		r.learn(near.Route, route)
		r.count(near, route)
		return near
	}
	chosen := r.draw(later, route)
	if r.calls[pair{chosen.Route, route}] >= makerShare {
		r.count(chosen, route)
	}
	return chosen
}

// pointing reports whether calls on the route say by their time whose they are.
func (r *Runs) pointing(route string, points bool) bool {
	share, known := r.points[route]
	if !known {
		share = 0.5
	}
	share *= 1 - toldWeight
	if points {
		share += toldWeight
	}
	r.points[route] = share
	return share >= told
}

// nearest returns the run whose deadline is that of the call, or nil.
func nearest(later []*Run, deadline time.Time) *Run {
	var best *Run
	for _, run := range later {
		off := run.deadline.Sub(deadline)
		if off > slack {
			break
		}
		if best == nil || off.Abs() < best.deadline.Sub(deadline).Abs() {
			best = run
		}
	}
	return best
}

// draw picks one of the runs by how many such calls their routes make.
func (r *Runs) draw(from []*Run, route string) *Run {
	total := 0.0
	for _, run := range from {
		total += r.weight(run, route)
	}
	at := r.rand() * total
	chosen := from[len(from)-1]
	for _, run := range from {
		if at -= r.weight(run, route); at < 0 {
			chosen = run
			break
		}
	}
	r.learn(chosen.Route, route)
	return chosen
}

func (r *Runs) weight(run *Run, route string) float64 {
	return r.calls[pair{run.Route, route}] + unknownWeight
}

// learn moves what is known of a call's makers towards this one.
func (r *Runs) learn(from, to string) {
	for p, w := range r.calls {
		if p.to == to {
			r.calls[p] = w * (1 - learnWeight)
		}
	}
	r.calls[pair{from, to}] += learnWeight
	if len(r.calls) > mostPairs {
		clear(r.calls)
		clear(r.begun)
		clear(r.ended)
		clear(r.points)
	}
}

// mostPairs bounds what is kept over many changes of the configuration.
const mostPairs = 1024

// Len returns how many requests are running.
func (r *Runs) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}
