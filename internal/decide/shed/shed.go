package shed

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Shedder decides on one daemon which callers' requests are begun.
//
// It is for a service deep in the call graph that gets more than it can do, below requests that each call it
// ten times. Were the excess refused there, a tenth too much would end two of three requests
// after most of their work, and their callers come again: the fleet then works for nobody, also when the
// burst is over. So daemons tell each other a few times
// a second how full each service is, and each begins fewer requests of a route while one that the route needs is above a
// target. Answers alone would tell too late: in overload they take seconds. Less important requests have a lower target, and so give way
// first; as long as that is enough, the others see no full service. Routes whose way has room are not touched.
type Shedder struct {
	mu    sync.Mutex
	rand  func() float64
	lanes map[lane]*valve
	heard time.Time
}

// Rank orders requests, 0 first: by their organisation, and within one by their route.
type Rank struct {
	Organisation int
	Route        int
}

// lane is the requests of a route with one rank.
type lane struct {
	route string
	rank  Rank
}

// valve is what is let in of one lane.
type valve struct {
	// open is the part that is let in.
	open float64
	// full is the fullness that was heard last, or the smoothed one that answers brought back.
	full float64
	at   time.Time
}

const (
	// A service that is a third too full needs a quarter less of what is let in. What is heard of it is from half a second
	// ago, so that all of the difference at once would be done twice, and swing. gain is the power of the ratio between target
	// and fullness by which the open part is changed in a second: about a third of the difference from one word to the next.
	gain = 1.1
	// leastFull and mostFull bound the fullness that counts: an empty service must not be flooded, and a queue
	// grows without bound while the service does no more than all it can.
	leastFull = 0.45
	mostFull  = 3.0
	// smoothing is the weight of one answer, and mostGap the longest time that one answer speaks for.
	smoothing = 0.2
	mostGap   = 500 * time.Millisecond
	// heardTime is how long the word of other daemons goes before what answers bring back.
	heardTime = 1500 * time.Millisecond
	// refusedFull is the fullness that a refused call stands for.
	refusedFull = 2.0
	// leastOpen is let in at any rate: it finds out that there is room again, and no route starves.
	leastOpen = 0.1
	// reopening is how much more is let in for each second without an answer.
	reopening = 0.3
	// leastBack and mostBack bound when a caller is told to come back: the share moves by some tenths in a second.
	leastBack = 300 * time.Millisecond
	mostBack  = 2 * time.Second
)

// The fullest service may be as full as firstTarget for the requests that go first, and less by a step for each rank behind. At
// 1 all slots are taken, and above it requests wait: 0.3 are 15 ms a call. A service of which less is asked
// stands idle while callers are turned away. The steps are wide enough for the lower ranks to give way first.
const (
	firstTarget      = 1.3
	organisationStep = 0.12
	routeStep        = 0.04
	// lastRank stands for all behind it.
	lastRank = 2
)

func (r Rank) target() float64 {
	return firstTarget - organisationStep*float64(min(r.Organisation, lastRank)) - routeStep*float64(min(r.Route, lastRank))
}

// Option sets one property of a shedder.
type Option func(*Shedder)

// WithRand sets the source of chance, numbers from 0 to 1.
func WithRand(f func() float64) Option { return func(s *Shedder) { s.rand = f } }

// New returns a shedder that lets everything in.
func New(opts ...Option) *Shedder {
	s := &Shedder{rand: rand.Float64, lanes: map[lane]*valve{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Verdict is whether a request is begun, with what decided it.
type Verdict struct {
	Admitted bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
	// Share is the part that is turned away, and Full the fullness behind it.
	Share float64
	Full  float64
}

// Admit decides on a request of the route.
func (s *Shedder) Admit(route string, rank Rank, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.lanes[lane{route, rank}]
	if v == nil {
		return Verdict{Admitted: true}
	}
	v.reopen(now)
	share := 1 - v.open
	out := Verdict{Admitted: s.rand() >= share, Share: share, Full: v.full}
	if !out.Admitted {
		back := float64(mostBack) * share * (0.5 + s.rand())
		out.RetryAfter = min(max(time.Duration(back), leastBack), mostBack)
	}
	return out
}

// Hear takes in how full the fullest service is that the requests of a route need, over all daemons.
func (s *Shedder) Hear(fullest func(route string) float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
	for key, v := range s.lanes {
		v.full = fullest(key.route)
		v.move(key.rank.target(), now)
	}
}

// Report takes in what the answer to a request of the route brought back: how full the fullest service on
// its way was, and whether a call of the request was refused.
func (s *Shedder) Report(route string, rank Rank, full float64, refused bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		full = max(full, refusedFull)
	}
	key := lane{route, rank}
	v := s.lanes[key]
	if v == nil {
		v = &valve{open: 1, full: full, at: now}
		s.lanes[key] = v
	}
	if now.Sub(s.heard) > heardTime {
		v.full += (full - v.full) * smoothing
		v.move(rank.target(), now)
	}
	if len(s.lanes) > mostLanes {
		clear(s.lanes)
	}
}

// mostLanes bounds what is kept over many changes of the configuration.
const mostLanes = 4096

// move changes the open part by how far the fullness is from the target.
func (v *valve) move(target float64, now time.Time) {
	gap := min(now.Sub(v.at), mostGap)
	v.at = now
	ratio := target / min(max(v.full, leastFull), mostFull)
	v.set(v.open * math.Pow(ratio, gain*gap.Seconds()))
}

// reopen lets in more while no answer comes: all that was let in may have been lost.
func (v *valve) reopen(now time.Time) {
	if gap := now.Sub(v.at); gap > mostGap {
		v.set(v.open + reopening*(gap-mostGap).Seconds())
		v.full *= 1 - min(gap.Seconds(), 1)
		v.at = now.Add(-mostGap)
	}
}

func (v *valve) set(open float64) { v.open = min(max(open, leastOpen), 1) }
