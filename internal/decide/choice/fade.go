package choice

import (
	"math"
	"time"
)

// decay returns the factor of exponential decay over the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
