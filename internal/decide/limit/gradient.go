package limit

import (
	"math"
	"time"
)

// GradientLearner moves the limit by how much latency exceeds its low-load baseline.
//
// It is for an upstream that queues inside once its slots are taken: more
// requests at once then only wait there, unseen, in no fair order and past
// their deadlines. The limit falls until latency is near its baseline again,
// so that what must wait does so in the daemon's queue.
type GradientLearner struct {
	limit     float64
	floor     float64
	ceiling   float64
	reference float64
	ramping   bool
	wall      int
	wallUntil time.Time
	bases     baselines
	window    window
}

const (
	// tolerance is the mean latency, relative to the baseline, that still counts as well: some queueing keeps slots busy.
	tolerance = 1.5
	// fastest bounds a baseline that was learned on a cold upstream: a ratio below it lowers the baseline.
	fastest = 0.8
	// deepestCut bounds the fall in one window, so that one stall can't collapse the limit.
	deepestCut = 0.7
	// rampFactor is the growth per window of a cold upstream: an eighth of the ceiling to all of it in about 0.6 s.
	rampFactor = 1.5
	// startShare and floorShare set where a cold upstream starts and how low the limit falls.
	startShare = 8
	floorShare = 10
	// busyShare is the part of the limit that must have been in use before it may grow.
	busyShare = 0.8
	// referenceDecay forgets an older, higher limit by half in about 3.4 s of windows.
	referenceDecay = 0.98
	// wallTime is how long a level at which the upstream shed is not tried again: each trial costs refusals.
	wallTime = 5 * time.Second
)

// NewGradient returns a learner that starts low and ramps up to the ceiling.
func NewGradient(ceiling int) *GradientLearner {
	top := float64(max(ceiling, 1))
	g := &GradientLearner{ceiling: top, floor: max(1, math.Floor(top/floorShare)), ramping: true, bases: baselines{}}
	g.limit = max(g.floor, math.Ceil(top/startShare))
	g.reference = g.limit
	return g
}

// Limit returns how many requests may run at once.
func (g *GradientLearner) Limit() int { return int(g.limit) }

// Learn takes in one finished run.
//
// Latency also rises for reasons that fewer requests don't cure. Once the limit
// has come down to half of where it was and latency is still high, the baseline
// takes over the new latency; without that, a release that is merely slower
// would hold the limit at its floor forever.
func (g *GradientLearner) Learn(now time.Time, s Sample) {
	ratio := 1.0
	if !s.Shed {
		ratio = g.bases.ratio(s, float64(s.InFlight) <= g.reference/2)
	}
	g.window.add(s, ratio)
	if g.window.ended(now) {
		g.adjust(now)
		g.window = window{begun: now}
	}
}

func (g *GradientLearner) adjust(now time.Time) {
	w := &g.window
	ratio := w.ratio()
	switch {
	case w.sheds > 0:
		g.hit(now, w.shedFrom)
	case ratio > tolerance:
		g.ramping = false
		g.limit *= max(deepestCut, tolerance/ratio)
	case float64(w.peak) >= g.limit*busyShare:
		g.grow(now)
	}
	if ratio < fastest {
		g.bases.lower(ratio)
	}
	g.limit = min(max(g.limit, g.floor), g.ceiling)
	g.reference = max(g.limit, g.reference*referenceDecay)
}

// hit remembers where the upstream shed. A shed answer may have other causes
// than the number of runs, so it takes the limit down by a bounded step only.
func (g *GradientLearner) hit(now time.Time, inFlight int) {
	g.ramping = false
	g.limit = max(g.limit*deepestCut, float64(min(inFlight-1, int(g.limit))))
	g.wall = inFlight - 1
	g.wallUntil = now.Add(wallTime)
}

func (g *GradientLearner) grow(now time.Time) {
	next := g.limit + max(1, math.Sqrt(g.limit)/2)
	if g.ramping {
		next = g.limit * rampFactor
	}
	if now.Before(g.wallUntil) {
		next = max(g.limit, min(next, float64(g.wall)))
	}
	g.limit = next
}
