package admission

import (
	"math"
	"time"
)

// latencies expects how long an operation holds a slot.
//
// The expectation refuses requests that can't finish in time, and a refused
// request teaches nothing. After a slow time it would therefore refuse all that
// comes and never learn that the upstream is well again; so it fades when no
// run has confirmed it lately.
type latencies struct {
	operations map[string]*holding
	mean       float64
}

type holding struct {
	seconds float64
	at      time.Time
}

const (
	// holdingWeight is the weight of one run in the expectation.
	holdingWeight = 0.1
	// fadeAfter and fadeHalf bound how long an unconfirmed expectation counts; a request is let through again well within 2 s.
	fadeAfter = 100 * time.Millisecond
	fadeHalf  = 200 * time.Millisecond
)

func (l *latencies) learn(operation string, held time.Duration, now time.Time) {
	seconds := held.Seconds()
	if l.mean == 0 {
		l.mean = seconds
	}
	l.mean += (seconds - l.mean) * holdingWeight
	h := l.operations[operation]
	if h == nil {
		h = &holding{seconds: seconds}
		l.operations[operation] = h
	}
	if h.faded(now) < h.seconds/2 {
		h.seconds = seconds
	}
	h.seconds += (seconds - h.seconds) * holdingWeight
	h.at = now
}

func (h *holding) faded(now time.Time) float64 {
	age := now.Sub(h.at) - fadeAfter
	if age <= 0 {
		return h.seconds
	}
	return h.seconds * math.Exp2(-float64(age)/float64(fadeHalf))
}

// expect returns how long the operation should hold a slot; 0 while nothing is known.
func (l *latencies) expect(operation string, now time.Time) time.Duration {
	h := l.operations[operation]
	if h == nil {
		return 0
	}
	return time.Duration(h.faded(now) * float64(time.Second))
}

// cost returns the operation's expected slot time relative to the mean.
func (l *latencies) cost(operation string) float64 {
	h := l.operations[operation]
	if h == nil || l.mean == 0 {
		return 1
	}
	return h.seconds / l.mean
}
