package limit

import (
	"math"
	"time"
)

// GradientLearner sets the limit by how much latency exceeds its low-load baseline.
//
// Designed for an upstream that queues inside once its slots are in use: more concurrent requests then only wait inside it, without
// fairness and past their deadlines. The limit falls until latency is near its baseline again, so that requests wait in the daemon's
// queue instead.
type GradientLearner struct {
	limit          float64
	floor          float64
	ceiling        float64
	ramping        bool
	shedLimit      int
	shedLimitUntil time.Time
	baselines      baselines
	window         window
	trial          trial
	smoothedRatio  float64
}

// trial is a decrease of the limit whose effect on latency is being observed.
type trial struct {
	active      bool
	limitBefore float64
	ratioBefore float64
	// runsToSkip is how many runs to ignore: they waited inside the upstream behind runs admitted under the higher limit.
	runsToSkip int
	// notBefore is the earliest start of the next trial after one that failed.
	notBefore time.Time
}

const (
	// toleratedRatio is the highest mean latency relative to the baseline that isn't a sign of overload: some queueing keeps slots busy.
	toleratedRatio = 1.5
	// rebaseRatio is the ratio below which the baselines are lowered, since they were learned on a cold upstream.
	rebaseRatio = 0.8
	// shedDecreaseFactor bounds the decrease in one window with shed runs, so that one stall can't collapse the limit.
	shedDecreaseFactor = 0.7
	// trialDecreaseFactor is low enough for the effect of a trial to stand out from noise: with trialSamples, latencies that vary
	// by half of their mean mislead about once in 40 trials.
	trialDecreaseFactor = 0.6
	trialSamples        = 60
	// noiseFactor allows for noise: a mean latency below this fraction of the lowest that a trial can bring about has another cause.
	noiseFactor = 0.8
	// smoothedRatioWeight is the weight of one window in the smoothed ratio, which lowers the baselines.
	smoothedRatioWeight = 0.1
	// rampFactor is the growth per window of a cold upstream's limit: from an eighth of the ceiling to the ceiling in about 0.6 s.
	rampFactor = 1.5
	// startDivisor and floorDivisor divide the ceiling: into the limit of a cold upstream, and into the lowest limit.
	startDivisor = 8
	floorDivisor = 10
	// busyFraction is the fraction of the limit that must have been in use for the limit to grow.
	busyFraction = 0.8
	// shedLimitTTL is how long the limit stays below a level at which the upstream shed: each attempt to exceed it costs refusals.
	shedLimitTTL = 5 * time.Second
	// trialPause is the time between two trials that didn't lower latency.
	trialPause = 2 * time.Second
)

// NewGradient returns a learner that starts at an eighth of the ceiling and ramps up to it.
func NewGradient(ceiling int) *GradientLearner {
	maxLimit := float64(max(ceiling, 1))
	g := &GradientLearner{ceiling: maxLimit, floor: max(1, math.Floor(maxLimit/floorDivisor)), ramping: true, baselines: baselines{}, smoothedRatio: 1}
	g.limit = max(g.floor, math.Ceil(maxLimit/startDivisor))
	return g
}

// Limit returns how many requests may run at once.
func (g *GradientLearner) Limit() int { return int(g.limit) }

// Learn records one finished run and may change the limit. During a trial, runs that began before it don't count.
func (g *GradientLearner) Learn(now time.Time, s Sample) {
	ratio := 1.0
	if !s.Shed {
		ratio = g.baselines.ratio(s, float64(s.InFlight) <= g.limit/2)
	}
	if g.trial.active && !s.Shed && s.InFlight > g.Limit() {
		return
	}
	if g.trial.active && !s.Shed && g.trial.runsToSkip > 0 {
		g.trial.runsToSkip--
		return
	}
	g.window.add(s, ratio)
	if g.window.ended(now, g.minSamples()) || g.improvedBeyondTrial() {
		g.adjust(now)
		g.window = window{startedAt: now}
	}
}

// minSamples returns the minimum number of samples of the current window.
func (g *GradientLearner) minSamples() int {
	if g.trial.active {
		return trialSamples
	}
	return minWindowSamples
}

// improvedBeyondTrial reports whether latency has fallen by more than the trial's decrease of the limit explains, which is by the same
// factor if all requests in excess queued.
func (g *GradientLearner) improvedBeyondTrial() bool {
	w := &g.window
	return g.trial.active && w.samples >= minWindowSamples && w.ratio() < g.trial.ratioBefore*trialDecreaseFactor*noiseFactor
}

func (g *GradientLearner) adjust(now time.Time) {
	w := &g.window
	ratio := w.ratio()
	if g.trial.active && w.samples > 0 {
		switch {
		case g.improvedBeyondTrial():
			g.cancelTrial(ratio)
			return
		case !g.trialHelped(ratio):
			g.revertTrial(now, ratio)
			return
		case ratio < rebaseRatio:
			g.lowerBaselines(ratio)
			return
		}
	}
	switch {
	case w.sheds > 0:
		g.decreaseAfterShed(now, w.minShedInFlight)
	case ratio > toleratedRatio:
		// After a trial that didn't lower latency, the limit neither falls nor grows for a while.
		if !now.Before(g.trial.notBefore) {
			g.startTrial(ratio)
		}
	case w.busy(g.Limit()):
		g.increase(now)
	}
	g.smoothedRatio += (ratio - g.smoothedRatio) * smoothedRatioWeight
	if g.smoothedRatio < rebaseRatio {
		// The smoothed ratio lags behind. If the baselines stayed above the current latency, the trial would seem to have lowered it.
		g.lowerBaselines(min(ratio, g.smoothedRatio))
	}
	g.limit = max(g.limit, g.floor)
}

// lowerBaselines scales the baselines to a latency below them.
//
// Baselines learned on a cold upstream or during a slowdown are too high. While all slots are in use, even the lower latency may include
// queueing inside the upstream that the old baselines hid; a trial shows whether it falls further.
func (g *GradientLearner) lowerBaselines(ratio float64) {
	g.baselines.scale(ratio)
	g.smoothedRatio = 1
	if g.window.busy(g.Limit()) {
		g.startTrial(1)
	}
}

// cancelTrial ends a trial during which the upstream became faster by itself, and restores the limit.
//
// Otherwise the end of a slowdown would be taken for the effect of the trial. The next trial would lower the limit below the number of
// slots, where each trial takes longer since fewer runs end, and callers would be refused for seconds at a healthy upstream.
func (g *GradientLearner) cancelTrial(ratio float64) {
	g.baselines.scale(ratio)
	g.smoothedRatio = 1
	g.limit = g.trial.limitBefore
	g.trial.active = false
}

// startTrial lowers the limit and begins to observe the effect on latency.
func (g *GradientLearner) startTrial(ratio float64) {
	g.ramping = false
	g.trial = trial{active: true, limitBefore: g.limit, ratioBefore: ratio}
	g.limit = max(g.limit*trialDecreaseFactor, g.floor)
	g.trial.runsToSkip = int(g.limit)
}

// trialHelped ends the trial and reports whether it lowered latency.
//
// Latency also rises for reasons that fewer requests don't cure: a slow disk, a release that does more work. If requests queue inside
// the upstream, latency falls as the limit does; if latency stays, a lower limit only costs throughput, and a learner that kept lowering
// it would turn a service at half its speed into one at a tenth.
func (g *GradientLearner) trialHelped(ratio float64) bool {
	g.trial.active = false
	factor := g.trial.limitBefore / g.limit
	return g.trial.ratioBefore/ratio >= math.Sqrt(factor)
}

// revertTrial restores the limit after a trial that didn't lower latency, and scales the baselines to the current latency.
func (g *GradientLearner) revertTrial(now time.Time, ratio float64) {
	g.baselines.scale(ratio)
	g.limit = g.trial.limitBefore
	g.trial.notBefore = now.Add(trialPause)
}

// decreaseAfterShed lowers the limit below the number of runs at which the upstream shed, and keeps it there for a while. Since an
// upstream may shed for other reasons than the number of runs, the decrease in one window is bounded.
func (g *GradientLearner) decreaseAfterShed(now time.Time, inFlight int) {
	g.ramping = false
	g.trial.active = false
	g.limit = max(g.limit*shedDecreaseFactor, float64(min(inFlight-1, int(g.limit))))
	g.shedLimit = inFlight - 1
	g.shedLimitUntil = now.Add(shedLimitTTL)
}

// increase raises the limit by one step, up to the ceiling and the level at which the upstream shed.
func (g *GradientLearner) increase(now time.Time) {
	next := g.limit + max(1, math.Sqrt(g.limit)/2)
	if g.ramping {
		next = g.limit * rampFactor
	}
	if now.Before(g.shedLimitUntil) {
		next = max(g.limit, min(next, float64(g.shedLimit)))
	}
	g.limit = min(next, g.ceiling)
}
