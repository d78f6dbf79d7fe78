package shed

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
)

// Shedder decides on one daemon which callers' requests are begun.
//
// It is for a service deep in the call graph that gets more than it can do, below requests that each call it
// ten times. Were the excess refused there, a tenth too much would end two of three requests
// after most of their work, and their callers come again: the fleet then works for nobody, also when the
// burst is over. So the part of each lane that the fleet can do is worked out in one place, from what all daemons are asked for, and
// each daemon begins that part. A daemon that hears nothing goes by how full the services were that its answers met.
type Shedder struct {
	mu    sync.Mutex
	rand  func() float64
	lanes map[Class]*valve
	heard time.Time
	asked time.Time
	// untimely tells callers to come back without regard to their target.
	untimely bool
}

// valve is what is let in of one lane.
type valve struct {
	// open is the part that is let in.
	open float64
	// full is the smoothed fullness that answers brought back.
	full float64
	at   time.Time
	// asked counts requests since the last word to others, and rate is what they come to, smoothed.
	asked int
	rate  float64
}

const (
	// gain is the power of the ratio between target and fullness by which the open part is changed in a second, where only answers
	// tell: they are late in overload, and all of the difference at once would be done twice, and swing.
	gain = 1.1
	// leastFull and mostFull bound the fullness that counts: an empty service must not be flooded, and a queue
	// grows without bound while the service does no more than all it can.
	leastFull = 0.45
	mostFull  = 3.0
	// smoothing is the weight of one answer, and mostGap the longest time that one answer speaks for.
	smoothing = 0.2
	mostGap   = 500 * time.Millisecond
	// heardTime is how long the word of other daemons goes before what answers bring back: some gaps between two of them.
	heardTime = 1500 * time.Millisecond
	// refusedFull is the fullness that a refused call stands for.
	refusedFull = 2.0
	// leastOpen is let in at any rate: it finds out that there is room again, and no lane starves.
	leastOpen = 0.01
	// reopening is how much more is let in for each second without an answer.
	reopening = 0.3
	// firstBack and backSpread are the parts of a route's target after which callers are told to come back, at the earliest and
	// beyond that: the answer is still good then, and half of the target is left for the request itself.
	firstBack  = 0.15
	backSpread = 0.35
	// leastBack and mostBack bound it, and usualTarget stands for a target that is not known.
	leastBack   = 50 * time.Millisecond
	mostBack    = 2 * time.Second
	usualTarget = 2 * time.Second
	// rateWeight is the weight of what was asked since the last word in what others are told: two words smooth out the chance of some
	// hundred milliseconds, and tell of a surge at once.
	rateWeight = 0.6
	// negligible is a rate that is not worth telling.
	negligible = 0.05
)

// Where only answers tell, the fullest service on the way may be as full as firstTarget for the requests that go first, and less by
// a step for each rank behind. At 1 all slots are taken, and above it requests wait: 0.3 are 15 ms a call. The steps are wide
// enough for the lower ranks to give way first.
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

// Without switches mechanisms off.
func Without(set mechanism.Set) Option {
	return func(s *Shedder) { s.untimely = set.Has(mechanism.TargetedRetryAfter) }
}

// New returns a shedder that lets everything in.
func New(opts ...Option) *Shedder {
	s := &Shedder{rand: rand.Float64, lanes: map[Class]*valve{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Decision is whether a request is begun, with what decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
	// RejectFraction is the part that is turned away.
	RejectFraction float64
	// Age is how old the fleet's word is that decided it; what only answers tell has a longer one.
	Age time.Duration
}

// Admit counts a request of the lane and decides on it; target is the time within which its answer is as good as it can be, 0 if
// that is not known.
func (s *Shedder) Admit(l Class, target time.Duration, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.of(l, now)
	v.asked++
	if s.alone(now) {
		v.reopen(now)
	}
	share := 1 - v.open
	out := Decision{Admitted: s.rand() >= share, RejectFraction: share, Age: now.Sub(s.heard)}
	if !out.Admitted {
		out.RetryAfter = s.back(target)
	}
	return out
}

// back is when a caller may come back, spread so that those refused together don't return together.
func (s *Shedder) back(target time.Duration) time.Duration {
	if target <= 0 || s.untimely {
		target = usualTarget
	}
	part := firstBack + backSpread*s.rand()
	return min(max(time.Duration(float64(target)*part), leastBack), mostBack)
}

// Demand returns what the daemon is asked for in each lane, for the others; it is called at each word to them.
func (s *Shedder) Demand(now time.Time) []Rate {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.asked).Seconds()
	s.asked = now
	all := make([]Rate, 0, len(s.lanes))
	for l, v := range s.lanes {
		fresh := float64(v.asked) / max(gap, mostGap.Seconds()/10)
		v.rate += (fresh - v.rate) * rateWeight
		v.asked = 0
		if v.rate > negligible {
			all = append(all, Rate{Class: l, PerSecond: v.rate})
		}
	}
	return all
}

// Apply takes in the part of each lane that the fleet can do; lanes that aren't named are not cut.
func (s *Shedder) Apply(parts []Allocation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
	for _, v := range s.lanes {
		v.open, v.at = 1, now
	}
	for _, p := range parts {
		s.of(p.Class, now).set(p.AdmitFraction)
	}
}

// Observe takes in what the answer to a request of the lane brought back: how full the fullest service on
// its way was, and whether a call of the request was refused.
func (s *Shedder) Observe(l Class, full float64, refused bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		full = max(full, refusedFull)
	}
	v := s.of(l, now)
	if s.alone(now) {
		v.full += (full - v.full) * smoothing
		v.move(l.Rank.target(), now)
	}
}

// alone reports whether nothing current is heard of the fleet.
func (s *Shedder) alone(now time.Time) bool { return now.Sub(s.heard) > heardTime }

func (s *Shedder) of(l Class, now time.Time) *valve {
	v := s.lanes[l]
	if v == nil {
		if len(s.lanes) > mostLanes {
			clear(s.lanes)
		}
		v = &valve{open: 1, at: now}
		s.lanes[l] = v
	}
	return v
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
