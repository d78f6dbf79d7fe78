package limit

// baselines holds the low-load latency of each operation.
//
// An upstream that serves lookups of 5 ms and campaign files of 2 s has no one
// latency: a mean over both moves with the mix, and a limit that follows it
// collapses whenever more files than usual come in. Each operation is
// therefore compared with itself, and only the ratios are averaged.
type baselines map[string]*baseline

type baseline struct {
	seconds float64
	samples int
}

const (
	// firstSamples form the baseline at any load, since a learner starts at a low limit.
	firstSamples = 8
	// baselineWeight is the weight of one low-load sample after that.
	baselineWeight = 0.1
	// leastLatency keeps ratios finite.
	leastLatency = 1e-6
)

// ratio returns the sample's latency relative to its operation's baseline,
// which a sample taken at low load moves.
func (b baselines) ratio(s Sample, low bool) float64 {
	seconds := max(s.Latency.Seconds(), leastLatency)
	base := b[s.Operation]
	if base == nil {
		base = &baseline{}
		b[s.Operation] = base
	}
	switch {
	case base.samples < firstSamples:
		base.samples++
		base.seconds += (seconds - base.seconds) / float64(base.samples)
		return 1
	case low:
		base.seconds += (seconds - base.seconds) * baselineWeight
	}
	return seconds / max(base.seconds, leastLatency)
}

// scale moves every baseline, for an upstream that has become faster or slower at any load.
func (b baselines) scale(factor float64) {
	for _, base := range b {
		base.seconds *= factor
	}
}
