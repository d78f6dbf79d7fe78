package limit

import "time"

// window sums up the samples between two changes of the limit, so that one slow run changes nothing.
type window struct {
	startedAt       time.Time
	samples         int
	ratioSum        float64
	peakInFlight    int
	sheds           int
	minShedInFlight int
}

const (
	// minWindowTime is the minimum time between two changes of the limit, which allows 20 changes in a recovery of 2 s.
	minWindowTime = 100 * time.Millisecond
	// minWindowSamples gives the mean of exponentially distributed latencies a standard error of about a fifth.
	minWindowSamples = 20
	// maxWindowTime ends a window with few samples, so that a slow upstream is noticed too.
	maxWindowTime = time.Second
)

func (w *window) add(s Sample, ratio float64) {
	w.peakInFlight = max(w.peakInFlight, s.InFlight)
	if s.Shed {
		if w.sheds == 0 || s.InFlight < w.minShedInFlight {
			w.minShedInFlight = s.InFlight
		}
		w.sheds++
		return
	}
	w.samples++
	w.ratioSum += ratio
}

// busy reports whether the limit was nearly used up. It compares with the whole number of requests that may run: a limit of 2.6 lets two
// run, and compared with the fraction included it would never count as used, so the limit would never grow.
func (w *window) busy(limit int) bool { return float64(w.peakInFlight) >= float64(limit)*busyFraction }

// ended reports whether the window is long enough to decide on.
func (w *window) ended(now time.Time, minSamples int) bool {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	elapsed := now.Sub(w.startedAt)
	if elapsed < minWindowTime {
		return false
	}
	return w.samples+w.sheds >= minSamples || elapsed >= maxWindowTime
}

// ratio returns the mean latency relative to the baselines.
func (w *window) ratio() float64 {
	if w.samples == 0 {
		return 1
	}
	return w.ratioSum / float64(w.samples)
}
