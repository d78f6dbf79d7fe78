package limit

// baselines holds the low-load latency of each operation.
//
// An upstream that serves lookups of 5 ms and campaign files of 2 s has no single latency: a mean over both moves with the mix, and a
// limit based on it collapses whenever the share of files rises. Each operation is therefore compared with itself, and only the ratios
// are averaged.
type baselines map[string]*baseline

type baseline struct {
	seconds float64
	samples int
}

const (
	// warmupSamples is how many samples form the baseline at any load, since a learner starts at a low limit.
	warmupSamples = 8
	// baselineWeight is the weight of one low-load sample after the warm-up.
	baselineWeight = 0.1
	// minLatencySeconds keeps ratios finite.
	minLatencySeconds = 1e-6
)

// ratio returns the sample's latency relative to its operation's baseline; a sample taken at low load updates the baseline.
func (b baselines) ratio(s Sample, lowLoad bool) float64 {
	seconds := max(s.Latency.Seconds(), minLatencySeconds)
	base := b[s.Operation]
	if base == nil {
		base = &baseline{}
		b[s.Operation] = base
	}
	switch {
	case base.samples < warmupSamples:
		base.samples++
		base.seconds += (seconds - base.seconds) / float64(base.samples)
		return 1
	case lowLoad:
		base.seconds += (seconds - base.seconds) * baselineWeight
	}
	return seconds / max(base.seconds, minLatencySeconds)
}

// scale multiplies all baselines, for an upstream that has become faster or slower at any load.
func (b baselines) scale(factor float64) {
	for _, base := range b {
		base.seconds *= factor
	}
}
