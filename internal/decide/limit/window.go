package limit

import "time"

// window sums the samples of a short time, so that one slow run moves nothing.
type window struct {
	begun    time.Time
	samples  int
	ratios   float64
	peak     int
	sheds    int
	shedFrom int
}

const (
	// windowTime is the least time between two changes of the limit; a 2 s recovery has room for 20 of them.
	windowTime = 100 * time.Millisecond
	// windowSamples makes the mean of exponentially spread latencies good to about a fifth.
	windowSamples = 20
	// windowLongest ends a window with few samples, so that a slow upstream is noticed too.
	windowLongest = time.Second
)

func (w *window) add(s Sample, ratio float64) {
	w.peak = max(w.peak, s.InFlight)
	if s.Shed {
		if w.sheds == 0 || s.InFlight < w.shedFrom {
			w.shedFrom = s.InFlight
		}
		w.sheds++
		return
	}
	w.samples++
	w.ratios += ratio
}

// busy reports whether the limit was nearly used up. It is the whole number that
// may run at once: measured against a part more, a limit of 2.6 that lets
// two run would never count as used, and an upstream would stay at it for good.
func (w *window) busy(limit int) bool { return float64(w.peak) >= float64(limit)*busyShare }

func (w *window) ended(now time.Time, samples int) bool {
	if w.begun.IsZero() {
		w.begun = now
	}
	elapsed := now.Sub(w.begun)
	if elapsed < windowTime {
		return false
	}
	return w.samples+w.sheds >= samples || elapsed >= windowLongest
}

// ratio returns the mean latency relative to the baselines.
func (w *window) ratio() float64 {
	if w.samples == 0 {
		return 1
	}
	return w.ratios / float64(w.samples)
}
