package admission

import (
	"math"
	"time"
)

// holdTimes holds the smoothed hold time of each operation and the smoothed mean over all requests.
type holdTimes struct {
	byOperation map[string]*holdTime
	meanSeconds float64
}

// holdTime is the smoothed hold time of one operation.
type holdTime struct {
	seconds    float64
	observedAt time.Time
	// mean and deviation, in seconds, are smoothed over all runs, however far apart they are.
	mean, deviation float64
}

const (
	// holdTimeWeight is the weight of one run in the smoothed hold time.
	holdTimeWeight = 0.1
	// meanWeight and deviationWeight smooth an operation's mean and deviation. Three mean deviations above the mean cover all but a few of a
	// hundred runs, also where their times are exponentially distributed; the deadline that the upstream is given covers the rest.
	meanWeight           = 0.1
	deviationWeight      = 0.2
	upperBoundDeviations = 3
	// decayDelay and decayHalfLife set how fast an estimate decays without new runs: an operation that is refused because of its estimate
	// has none, and must be admitted again well within 2 s.
	decayDelay    = 100 * time.Millisecond
	decayHalfLife = 200 * time.Millisecond
)

func (times *holdTimes) record(operation string, held time.Duration, now time.Time) {
	seconds := held.Seconds()
	if times.meanSeconds == 0 {
		times.meanSeconds = seconds
	}
	times.meanSeconds += (seconds - times.meanSeconds) * holdTimeWeight
	h := times.byOperation[operation]
	if h == nil {
		h = &holdTime{seconds: seconds, mean: seconds, deviation: seconds / 2}
		times.byOperation[operation] = h
	}
	if h.decayed(now) < h.seconds/2 {
		h.seconds = seconds
	}
	h.seconds += (seconds - h.seconds) * holdTimeWeight
	h.observedAt = now
	h.deviation += (math.Abs(seconds-h.mean) - h.deviation) * deviationWeight
	h.mean += (seconds - h.mean) * meanWeight
}

// decayed returns the hold time in seconds, reduced by its age.
func (h *holdTime) decayed(now time.Time) float64 {
	age := now.Sub(h.observedAt) - decayDelay
	if age <= 0 {
		return h.seconds
	}
	return h.seconds * math.Exp2(-float64(age)/float64(decayHalfLife))
}

// estimate returns the expected hold time of the operation, or 0 while none was observed.
func (times *holdTimes) estimate(operation string, now time.Time) time.Duration {
	h := times.byOperation[operation]
	if h == nil {
		return 0
	}
	return time.Duration(h.decayed(now) * float64(time.Second))
}

// meanOf returns the operation's hold time without a reduction by its age, or 0 while none was observed.
func (times *holdTimes) meanOf(operation string) time.Duration {
	h := times.byOperation[operation]
	if h == nil {
		return 0
	}
	return time.Duration(h.seconds * float64(time.Second))
}

// upperBound returns a hold time that runs of the operation seldom exceed, whatever its age. While none was observed it is the usual time, or the mean
// of all operations if that is unknown.
func (times *holdTimes) upperBound(operation string, usual time.Duration) time.Duration {
	h := times.byOperation[operation]
	if h == nil && usual > 0 {
		return usual
	}
	if h == nil {
		return time.Duration(times.meanSeconds * float64(time.Second))
	}
	return time.Duration((h.mean + upperBoundDeviations*h.deviation) * float64(time.Second))
}

// relativeCost returns the operation's hold time relative to the mean of all operations.
func (times *holdTimes) relativeCost(operation string) float64 {
	h := times.byOperation[operation]
	if h == nil || times.meanSeconds == 0 {
		return 1
	}
	return h.seconds / times.meanSeconds
}
