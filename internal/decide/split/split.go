package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// Splitter picks the service of each request of a route that goes to several.
//
// Operators move a route to another service a tenth at a time and watch that
// tenth. Each daemon sees only a few requests a second of it, so drawing lots
// would let the shares of an hour's first minutes be far off; a daemon keeps count
// instead, and each share is right to within one request. What a part has no room for is
// refused there: moved to the other part, it would hide from operators that the new service is too small.
type Splitter struct {
	mu     sync.Mutex
	start  func() float64
	routes map[string]*shares
}

// shares counts how far each part of one route is behind its share.
type shares struct {
	parts  []routing.Part
	behind []float64
}

// New returns a splitter; start returns numbers from 0 to 1, by which daemons begin at different parts.
func New(start func() float64) *Splitter {
	return &Splitter{start: start, routes: map[string]*shares{}}
}

// NewRandom returns a splitter that begins anywhere.
func NewRandom() *Splitter { return New(rand.Float64) }

// Pick returns the service that the route's next request goes to.
func (s *Splitter) Pick(r *routing.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.routes[r.Name]
	if known == nil || !slices.Equal(known.parts, r.Parts) {
		known = s.begin(r)
		s.routes[r.Name] = known
	}
	return known.next()
}

func (s *Splitter) begin(r *routing.Route) *shares {
	n := &shares{parts: r.Parts, behind: make([]float64, len(r.Parts))}
	for i, p := range r.Parts {
		n.behind[i] = s.start() * float64(p.Weight)
	}
	return n
}

// next serves the part that is furthest behind; a part of weight 0 never is.
func (s *shares) next() string {
	best, total := 0, 0.0
	for i, p := range s.parts {
		s.behind[i] += float64(p.Weight)
		total += float64(p.Weight)
		if p.Weight > 0 && (s.parts[best].Weight == 0 || s.behind[i] > s.behind[best]) {
			best = i
		}
	}
	s.behind[best] -= total
	return s.parts[best].Service
}
