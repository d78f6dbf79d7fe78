package pressure

import (
	"math"
	"time"
)

// Gauge measures the share of recent work that was refused or lost for overload.
type Gauge struct {
	done    float64
	refused float64
	at      time.Time
}

const (
	// HalfLife is how fast the gauge forgets; a gauge that remembered for
	// seconds would keep doors shut after the trouble is over.
	HalfLife = 200 * time.Millisecond
	// prior is the weight of "all is well" that a few refusals must outweigh.
	prior = 2
)

// Done counts one piece of work that ran.
func (g *Gauge) Done(now time.Time) {
	g.decay(now)
	g.done++
}

// Refused counts one piece of work that was refused or lost for overload.
func (g *Gauge) Refused(now time.Time) {
	g.decay(now)
	g.refused++
}

// Share returns the refused share, 0 to 1.
func (g *Gauge) Share(now time.Time) float64 {
	g.decay(now)
	return g.refused / (g.done + g.refused + prior)
}

func (g *Gauge) decay(now time.Time) {
	elapsed := now.Sub(g.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(HalfLife))
	g.done *= factor
	g.refused *= factor
	g.at = now
}
