package limit

import (
	"math"
	"time"
)

// AIMDLearner adds one to the limit after a busy window and lowers it by a tenth after a window with signs of overload.
//
// It needs no estimate of how much latency has risen, only whether it has. In return it recovers slowly, by one request per window.
type AIMDLearner struct {
	limit     float64
	floor     float64
	ceiling   float64
	baselines baselines
	window    window
}

// aimdDecreaseFactor is applied to the limit after a window with signs of overload.
const aimdDecreaseFactor = 0.9

// NewAIMD returns a learner that starts at an eighth of the ceiling.
func NewAIMD(ceiling int) *AIMDLearner {
	maxLimit := float64(max(ceiling, 1))
	a := &AIMDLearner{ceiling: maxLimit, floor: max(1, math.Floor(maxLimit/floorDivisor)), baselines: baselines{}}
	a.limit = max(a.floor, math.Ceil(maxLimit/startDivisor))
	return a
}

// Limit returns how many requests may run at once.
func (a *AIMDLearner) Limit() int { return int(a.limit) }

// Learn records one finished run and may change the limit.
func (a *AIMDLearner) Learn(now time.Time, s Sample) {
	ratio := 1.0
	if !s.Shed {
		ratio = a.baselines.ratio(s, float64(s.InFlight) <= a.limit/2)
	}
	a.window.add(s, ratio)
	if !a.window.ended(now, minWindowSamples) {
		return
	}
	switch {
	case a.window.sheds > 0 || a.window.ratio() > toleratedRatio:
		a.limit *= aimdDecreaseFactor
	case a.window.busy(a.Limit()):
		a.limit++
	}
	a.limit = min(max(a.limit, a.floor), a.ceiling)
	a.window = window{startedAt: now}
}
