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
	ramping   bool
	wall      int
	wallUntil time.Time
	bases     baselines
	window    window
	trial     trial
	smooth    float64
}

// trial is a cut whose effect is being watched.
type trial struct {
	running bool
	limit   float64
	ratio   float64
	// drain is how many runs to pass over, which waited inside behind those of the higher limit.
	drain int
	// notBefore keeps a next trial from following at once on one that failed.
	notBefore time.Time
}

const (
	// tolerance is the mean latency, relative to the baseline, that still counts as well: some queueing keeps slots busy.
	tolerance = 1.5
	// fastest bounds a baseline that was learned on a cold upstream: a ratio below it lowers the baseline.
	fastest = 0.8
	// deepestCut bounds the fall in one window, so that one stall can't collapse the limit.
	deepestCut = 0.7
	// trialCut is deep enough for its effect to stand out from chance: with
	// trialSamples, latencies that vary by half of their mean mislead about once
	// in 40 trials.
	trialCut     = 0.6
	trialSamples = 60
	// chance is how far the mean of a window may be below what the cut explains.
	chance = 0.8
	// smoothing is the weight of one window in the mean that may lower the baselines.
	smoothing = 0.1
	// rampFactor is the growth per window of a cold upstream: an eighth of the ceiling to all of it in about 0.6 s.
	rampFactor = 1.5
	// startShare and floorShare set where a cold upstream starts and how low the limit falls.
	startShare = 8
	floorShare = 10
	// busyShare is the part of the limit that must have been in use before it may grow.
	busyShare = 0.8
	// wallTime is how long a level at which the upstream shed is not tried again: each trial costs refusals.
	wallTime = 5 * time.Second
	// trialPause is the time between two cuts that didn't help.
	trialPause = 2 * time.Second
)

// NewGradient returns a learner that starts low and ramps up to the ceiling.
func NewGradient(ceiling int) *GradientLearner {
	top := float64(max(ceiling, 1))
	g := &GradientLearner{ceiling: top, floor: max(1, math.Floor(top/floorShare)), ramping: true, bases: baselines{}, smooth: 1}
	g.limit = max(g.floor, math.Ceil(top/startShare))
	return g
}

// Limit returns how many requests may run at once.
func (g *GradientLearner) Limit() int { return int(g.limit) }

// Learn takes in one finished run. While a cut is watched, runs that began before it don't count.
func (g *GradientLearner) Learn(now time.Time, s Sample) {
	ratio := 1.0
	if !s.Shed {
		ratio = g.bases.ratio(s, float64(s.InFlight) <= g.limit/2)
	}
	if g.trial.running && !s.Shed && s.InFlight > g.Limit() {
		return
	}
	if g.trial.running && !s.Shed && g.trial.drain > 0 {
		g.trial.drain--
		return
	}
	g.window.add(s, ratio)
	if g.window.ended(now, g.samples()) || g.unexplained() {
		g.adjust(now)
		g.window = window{begun: now}
	}
}

func (g *GradientLearner) samples() int {
	if g.trial.running {
		return trialSamples
	}
	return windowSamples
}

// unexplained reports whether latency has fallen by more while a cut is watched
// than the cut can bring about, which is its own depth if all that is in excess queued.
func (g *GradientLearner) unexplained() bool {
	w := &g.window
	return g.trial.running && w.samples >= windowSamples && w.ratio() < g.trial.ratio*trialCut*chance
}

func (g *GradientLearner) adjust(now time.Time) {
	w := &g.window
	ratio := w.ratio()
	if g.trial.running && w.samples > 0 {
		switch {
		case g.unexplained():
			g.recovered(ratio)
			return
		case !g.helped(ratio):
			g.takeBack(now, ratio)
			return
		case ratio < fastest:
			g.faster(ratio)
			return
		}
	}
	switch {
	case w.sheds > 0:
		g.hit(now, w.shedFrom)
	case ratio > tolerance:
		// After a cut that didn't help, the limit rests: it neither falls nor grows.
		if !now.Before(g.trial.notBefore) {
			g.cut(ratio)
		}
	case w.busy(g.Limit()):
		g.grow(now)
	}
	g.smooth += (ratio - g.smooth) * smoothing
	if g.smooth < fastest {
		// The smoothed mean lags. Were the baselines left above the latency as it is, the cut would seem to have brought it down.
		g.faster(min(ratio, g.smooth))
	}
	g.limit = max(g.limit, g.floor)
}

// faster takes over a latency below the baselines.
//
// Baselines of a cold upstream, or of a slow time, are too high. While all slots
// are taken, the lower latency may still be one of queueing inside, which
// the old baselines hid: lowering the limit shows whether it goes lower yet.
func (g *GradientLearner) faster(ratio float64) {
	g.bases.scale(ratio)
	g.smooth = 1
	if g.window.busy(g.Limit()) {
		g.cut(1)
	}
}

// recovered ends a cut during which the upstream became faster by itself.
//
// The end of a slow time would otherwise count as the cut's doing. The next cut
// would go below the slots, where each verdict takes longer for want of runs,
// and callers would be refused for seconds at an upstream that is well.
func (g *GradientLearner) recovered(ratio float64) {
	g.bases.scale(ratio)
	g.smooth = 1
	g.limit = g.trial.limit
	g.trial.running = false
}

func (g *GradientLearner) cut(ratio float64) {
	g.ramping = false
	g.trial = trial{running: true, limit: g.limit, ratio: ratio}
	g.limit = max(g.limit*trialCut, g.floor)
	g.trial.drain = int(g.limit)
}

// helped reports whether the watched cut brought latency down.
//
// Latency also rises for reasons that fewer requests don't cure: a slow disk, a
// release that does more. If requests queue inside the upstream, latency falls
// as the limit does; if it stays, the cut only costs throughput, and a learner
// that went on cutting would turn a service at half its speed into one at a
// tenth.
func (g *GradientLearner) helped(ratio float64) bool {
	g.trial.running = false
	expected := g.trial.limit / g.limit
	return g.trial.ratio/ratio >= math.Sqrt(expected)
}

// takeBack undoes a cut that didn't help; the baselines take over the latency as it is.
func (g *GradientLearner) takeBack(now time.Time, ratio float64) {
	g.bases.scale(ratio)
	g.limit = g.trial.limit
	g.trial.notBefore = now.Add(trialPause)
}

// hit remembers where the upstream shed. A shed answer may have other causes
// than the number of runs, so it takes the limit down by a bounded step only.
func (g *GradientLearner) hit(now time.Time, inFlight int) {
	g.ramping = false
	g.trial.running = false
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
	g.limit = min(next, g.ceiling)
}
