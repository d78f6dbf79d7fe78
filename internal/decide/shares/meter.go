package shares

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"strings"
	"time"
)

// Surge is an organisation that sends far more than usual.
type Surge struct {
	Organisation string `msgpack:"organisation"`
	// UsualFraction is the fraction of its requests within its rate limit that its usual demand makes up.
	UsualFraction float64 `msgpack:"usual"`
}

// Meter learns at the collector the usual demand of each organisation, and which exceed it. It is not safe for concurrent use.
//
// Callers that are refused come back, so in a shortage the demand of all organisations grows. The meter therefore compares an
// organisation's growth with that of the others.
type Meter struct {
	organisations map[string]*organisation
	// started is when the meter began to observe without a gap, observed when it last did.
	started, observed time.Time
	// growth is the typical ratio of demand to usual demand, at least 1.
	growth float64
}

// organisation is what is known of one organisation; demands are in requests per second over all daemons.
type organisation struct {
	usual, demand, previous float64
	// activeAt is when the demand last rose or was more than half of the usual one.
	activeAt time.Time
	surging  bool
}

const (
	// MaxSurges is the maximum number of organisations that are listed.
	MaxSurges = 16
	// surgeFactor is the growth beyond that of the others from which on an organisation surges.
	surgeFactor = 1.5
	// The demand is a count over a short time and varies by chance. An organisation surges only if its demand is noiseDeviations standard
	// deviations higher yet. demandTimeConstant is that of the demand in package quota, and minNoiseDemand is added to the usual demand, since
	// a low one is not known well.
	noiseDeviations    = 4.0
	demandTimeConstant = 600 * time.Millisecond
	minNoiseDemand     = 0.5
	// usualTimeConstant smooths the usual demand.
	usualTimeConstant = 10 * time.Second
	// learnFactor bounds what a surge adds: it counts as this multiple of the usual demand. A surge of six seconds raises the usual demand
	// by an eighth, and lasting growth to five times is usual after a minute and a half.
	learnFactor = 1.2
	// minAllowance is the demand in requests per second that always counts as usual.
	minAllowance = 0.5
	// nearUsualFraction is the usual fraction from which on an organisation isn't listed.
	nearUsualFraction = 0.95
	// sampleInterval is how often the demand is sampled. After maxGap without a sample, the collector has not been the regular one, and
	// the meter starts again.
	sampleInterval = 100 * time.Millisecond
	maxGap         = time.Second
	// settleTime is the time after the start until the collector has had several reports of each daemon, and learnTime the time after the
	// start from which on the usual demand is known.
	settleTime = time.Second
	learnTime  = 3 * time.Second
	// An organisation is idle after idleTime in which it should have sent idleRequests. Its usual demand is kept for idleTTL, so that it
	// doesn't surge when it comes back.
	idleTime     = time.Second
	idleRequests = 5.0
	idleTTL      = 5 * time.Minute
)

// NewMeter returns a meter that knows no usual demand.
func NewMeter() *Meter { return &Meter{organisations: map[string]*organisation{}, growth: 1} }

// Observe records the demand of all organisations, in requests per second.
func (m *Meter) Observe(demands iter.Seq2[string, float64], now time.Time) {
	elapsed := now.Sub(m.observed)
	if elapsed < sampleInterval {
		return
	}
	m.observed = now
	if elapsed > maxGap {
		clear(m.organisations)
		m.started, m.growth = now, 1
	}
	if now.Sub(m.started) < settleTime {
		return
	}
	m.record(demands, now)
	m.updateGrowth(now)
	learningFor := now.Sub(m.started.Add(settleTime))
	weight := min(elapsed.Seconds()/max(min(learningFor, usualTimeConstant), elapsed).Seconds(), 1)
	for name, o := range m.organisations {
		o.surging = m.known(now) && o.demand > o.surgeThreshold(m.growth)
		o.learn(weight, now)
		if now.Sub(o.activeAt) > idleTTL {
			delete(m.organisations, name)
		}
	}
}

// known reports whether the meter knows the usual demand.
func (m *Meter) known(now time.Time) bool { return now.Sub(m.started) >= learnTime }

// record updates the demand of each organisation.
//
// A new organisation starts with the mean usual demand of the others: without any, its first requests would be a surge, and without a bound
// it could take the capacity of all others until its usual demand is known.
func (m *Meter) record(demands iter.Seq2[string, float64], now time.Time) {
	initial := 0.0
	if m.known(now) {
		initial = m.meanUsual()
	}
	for _, o := range m.organisations {
		o.previous, o.demand = o.demand, 0
	}
	for name, perSecond := range demands {
		o := m.organisations[name]
		if o == nil {
			o = &organisation{usual: initial, activeAt: now}
			m.organisations[name] = o
		}
		o.demand = perSecond
		if perSecond > o.previous || perSecond > o.usual/2 {
			o.activeAt = now
		}
	}
}

func (m *Meter) meanUsual() float64 {
	sum := 0.0
	for _, o := range m.organisations {
		sum += o.usual
	}
	return sum / float64(max(len(m.organisations), 1))
}

// updateGrowth sets the growth to the median over the organisations that aren't idle. An organisation's weight in it is its usual demand, at
// most the mean: neither the surge of a large one nor the noise of many small ones determines it.
func (m *Meter) updateGrowth(now time.Time) {
	maxWeight := m.meanUsual()
	samples := make([]growthSample, 0, len(m.organisations))
	total := 0.0
	for _, o := range m.organisations {
		if o.usual <= 0 || o.idle(now) {
			continue
		}
		s := growthSample{ratio: o.demand / o.usual, weight: min(o.usual, maxWeight)}
		total += s.weight
		samples = append(samples, s)
	}
	m.growth = max(medianRatio(samples, total), 1)
}

// growthSample is the growth of one organisation.
type growthSample struct{ ratio, weight float64 }

// medianRatio returns the ratio that half of the total weight doesn't exceed; it sorts the samples.
func medianRatio(samples []growthSample, total float64) float64 {
	slices.SortFunc(samples, func(a, b growthSample) int { return cmp.Compare(a.ratio, b.ratio) })
	below := 0.0
	for _, s := range samples {
		if below += s.weight; below >= total/2 {
			return s.ratio
		}
	}
	return 0
}

// surgeThreshold is the demand above which the organisation surges.
func (o *organisation) surgeThreshold(growth float64) float64 {
	deviation := math.Sqrt((growth*o.usual + minNoiseDemand) / (2 * demandTimeConstant.Seconds()))
	return surgeFactor*growth*o.usual + noiseDeviations*deviation
}

// idle reports whether the organisation has paused.
func (o *organisation) idle(now time.Time) bool {
	silence := now.Sub(o.activeAt)
	return silence >= idleTime && o.usual*silence.Seconds() >= idleRequests
}

// learn moves the usual demand towards the demand.
func (o *organisation) learn(weight float64, now time.Time) {
	if o.idle(now) {
		return
	}
	sample := o.demand
	if o.surging {
		sample = min(sample, learnFactor*max(o.usual, minAllowance))
	}
	o.usual += (sample - o.usual) * weight
}

// Surges returns the organisations that surge, those with the most surplus requests first. The function returns the fraction of an
// organisation's requests that its rate limit admits: the others are refused before classes are looked at.
func (m *Meter) Surges(admitFraction func(name string) float64) []Surge {
	var excesses []excess
	for name, o := range m.organisations {
		if !o.surging {
			continue
		}
		e := excess{name: name, allowance: max(m.growth*o.usual, minAllowance), demand: o.demand * admitFraction(name)}
		if e.allowance < nearUsualFraction*e.demand {
			excesses = append(excesses, e)
		}
	}
	slices.SortFunc(excesses, excess.compare)
	var surges []Surge
	for _, e := range excesses[:min(len(excesses), MaxSurges)] {
		surges = append(surges, Surge{Organisation: e.name, UsualFraction: e.allowance / e.demand})
	}
	return surges
}

// excess is the demand of a surging organisation within its rate limit, and what of it counts as usual.
type excess struct {
	name              string
	allowance, demand float64
}

// compare orders by surplus, the largest first, and then by name.
func (e excess) compare(other excess) int {
	return cmp.Or(cmp.Compare(other.demand-other.allowance, e.demand-e.allowance), strings.Compare(e.name, other.name))
}
