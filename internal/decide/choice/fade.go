package choice

import (
	"math"
	"time"
)

// fade halves with each half that has passed.
func fade(passed, half time.Duration) float64 {
	return math.Exp2(-passed.Seconds() / half.Seconds())
}
