package limit

import (
	"math"
	"time"
)

// AIMDLearner adds one in a busy window and cuts by a tenth in one with signs of overload.
//
// It needs no estimate of how far latency is off, only whether it is; the price
// is a slow climb back, one request a window.
type AIMDLearner struct {
	limit   float64
	floor   float64
	ceiling float64
	bases   baselines
	window  window
}

const aimdCut = 0.9

// NewAIMD returns a learner that starts low and climbs to the ceiling.
func NewAIMD(ceiling int) *AIMDLearner {
	top := float64(max(ceiling, 1))
	a := &AIMDLearner{ceiling: top, floor: max(1, math.Floor(top/floorShare)), bases: baselines{}}
	a.limit = max(a.floor, math.Ceil(top/startShare))
	return a
}

// Limit returns how many requests may run at once.
func (a *AIMDLearner) Limit() int { return int(a.limit) }

// Learn takes in one finished run.
func (a *AIMDLearner) Learn(now time.Time, s Sample) {
	ratio := 1.0
	if !s.Shed {
		ratio = a.bases.ratio(s, float64(s.InFlight) <= a.limit/2)
	}
	a.window.add(s, ratio)
	if !a.window.ended(now, windowSamples) {
		return
	}
	switch {
	case a.window.sheds > 0 || a.window.ratio() > tolerance:
		a.limit *= aimdCut
	case a.window.busy(a.Limit()):
		a.limit++
	}
	a.limit = min(max(a.limit, a.floor), a.ceiling)
	a.window = window{begun: now}
}
