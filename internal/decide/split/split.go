package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// Splitter picks the service of each request of a route that is split among several.
//
// Operators move a route to another service a tenth at a time and watch that tenth. Each daemon sees only a few of its requests per
// second, so with random choice the actual shares would be far off for several minutes; a daemon counts instead, and each share is
// accurate to within one request. Requests that a service has no capacity for are refused: moving them to another service would
// hide from operators that the new service is too small.
type Splitter struct {
	mu              sync.Mutex
	initialFraction func() float64
	routes          map[string]*routeState
}

// routeState holds how far each part of a route is behind its share, in units of weight.
type routeState struct {
	parts    []routing.Part
	deficits []float64
}

// New returns a splitter. initialFraction returns numbers in [0, 1) that set the initial deficits, so that daemons start with
// different parts.
func New(initialFraction func() float64) *Splitter {
	return &Splitter{initialFraction: initialFraction, routes: map[string]*routeState{}}
}

// NewRandom returns a splitter with random initial deficits.
func NewRandom() *Splitter { return New(rand.Float64) }

// Pick returns the service that the route's next request goes to.
func (s *Splitter) Pick(r *routing.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[r.Name]
	if state == nil || !slices.Equal(state.parts, r.Parts) {
		state = s.newState(r)
		s.routes[r.Name] = state
	}
	return state.next()
}

// newState returns the initial state of a route.
func (s *Splitter) newState(r *routing.Route) *routeState {
	state := &routeState{parts: r.Parts, deficits: make([]float64, len(r.Parts))}
	for i, p := range r.Parts {
		state.deficits[i] = s.initialFraction() * float64(p.Weight)
	}
	return state
}

// next returns the service of the part with the largest deficit; a part of weight 0 is never picked.
func (s *routeState) next() string {
	best, total := 0, 0.0
	for i, p := range s.parts {
		s.deficits[i] += float64(p.Weight)
		total += float64(p.Weight)
		if p.Weight > 0 && (s.parts[best].Weight == 0 || s.deficits[i] > s.deficits[best]) {
			best = i
		}
	}
	s.deficits[best] -= total
	return s.parts[best].Service
}
