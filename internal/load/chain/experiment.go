package chain

import (
	"slices"
	"time"
)

//go:generate stringer -type=Cause -linecomment

// Cause is the cause of an overload.
type Cause uint8

const (
	// Surge means that all organisations send a multiple of their rates.
	Surge Cause = iota // surge
	// Skew means that the largest organisation sends all of the excess.
	Skew // skew
	// Slow means that the last service's work times are multiplied.
	Slow // slow
	// OneSlow means that the work times of one instance of the first service are multiplied.
	OneSlow // oneSlow
	// Lossy means that (Times - 1)/100 of all responses are lost.
	Lossy // lossy
	// DeepLossy means that (Times - 1)/10 of the last service's responses are lost.
	DeepLossy // deepLossy
)

// Causes is the number of causes.
const Causes = int(DeepLossy) + 1

// Experiment is one run: load 1, then the cause, then load 1 again.
type Experiment struct {
	Deployment Deployment
	Policy     Policy
	Cause      Cause
	// Times is the factor of the load, of the work times or of the loss, by the cause.
	Times            float64
	Seed             uint64
	HonourRetryAfter bool
}

// Result holds the measurements of an experiment.
type Result struct {
	Deployment string  `json:"deployment"`
	Cause      string  `json:"cause"`
	Times      float64 `json:"times"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	// Goodput is the rate of successful responses while the cause lasts, relative to that at load 1.
	Goodput float64 `json:"goodput"`
	// RecoverySeconds is the time from the end of the cause until goodput is back at 95%; -1 if it isn't within the run.
	RecoverySeconds float64 `json:"recoverySeconds"`
	// WorstOrganisation is the lowest fraction of its entitlement that an organisation got; it is entitled to its requests up to
	// its rate.
	WorstOrganisation float64 `json:"worstOrganisation"`
	// Wrongful is the fraction of the requests within the organisations' rates that failed.
	Wrongful float64 `json:"wrongful"`
	// Interactive is the fraction of interactive requests that succeeded, and WorstInteractive the lowest fraction of its
	// entitlement to interactive requests that an organisation got.
	Interactive      float64 `json:"interactive"`
	WorstInteractive float64 `json:"worstInteractive"`
	// SlowestSeconds is the 99th percentile of the latency of successful requests, including client retries.
	SlowestSeconds float64 `json:"slowestSeconds"`
	// RunsPerWhole is the number of upstream runs per successful response, over the whole run.
	RunsPerWhole float64 `json:"runsPerWhole"`
	// MostRuns is the highest number of upstream runs that one attempt of a caller caused.
	MostRuns int `json:"mostRuns"`
	// RateExcess is the greatest number of requests by which an organisation exceeded its rate, where rates are lent.
	RateExcess float64 `json:"rateExcess"`
}

// The phases of a run: ramp up, measure load 1, apply the cause, and watch the recovery.
const (
	rampUp        = 4 * time.Second
	baseline      = 6 * time.Second
	causeDuration = 8 * time.Second
	recoveryWatch = 10 * time.Second

	causeStart = rampUp + baseline
	causeEnd   = causeStart + causeDuration
	runEnd     = causeEnd + recoveryWatch

	// Goodput has recovered once it holds recoveryGoodput, a fraction of that at load 1, for recoveryHold.
	recoveryHold    = time.Second
	recoveryGoodput = 0.95
)

// Run runs the experiment; the same seed gives the same result.
func (e Experiment) Run() Result {
	f := newFleet(e.Deployment, e.Policy, e.Seed)
	start := f.clock.Now
	results := &tally{
		start: start, organisations: make([]counts, len(f.organisations)), interactive: make([]counts, len(f.organisations)),
		from: start.Add(causeStart), to: start.Add(causeEnd),
	}
	rate := e.Deployment.rate()
	for i, share := range e.Deployment.Demand {
		e.callers(f, results, i, rate*share)
	}
	f.clock.At(start.Add(causeStart), func() { e.setFault(f, e.Times) })
	f.clock.At(start.Add(causeEnd), func() { e.setFault(f, 1) })
	f.clock.Run(start.Add(runEnd))
	return e.result(f, results)
}

// setFault applies the cause's fault to instances or responses; factor 1 ends it.
func (e Experiment) setFault(f *fleet, factor float64) {
	switch e.Cause {
	case Slow:
		f.slow(f.hostsByService[e.Deployment.lastService()], factor)
	case Lossy:
		f.lossFraction = (factor - 1) / 100
	case DeepLossy:
		f.lastServiceLossFraction = (factor - 1) / 10
	case OneSlow:
		f.slow(f.hostsByService[e.Deployment.Operations[0].Path[0]][:1], factor)
	}
}

// callers starts one organisation's callers for each phase.
func (e Experiment) callers(f *fleet, t *tally, organisation int, rate float64) {
	start := f.clock.Now
	factor := e.loadFactor(organisation)
	phase := func(rate float64, from, to time.Duration) {
		c := &caller{fleet: f, organisation: organisation, rate: rate, tally: t, honourRetryAfter: e.HonourRetryAfter}
		f.clock.At(start.Add(from), func() { c.start(start.Add(to)) })
	}
	phase(rate, 0, causeStart)
	phase(rate*factor, causeStart, causeEnd)
	phase(rate, causeEnd, runEnd)
}

// loadFactor returns the factor of the organisation's rate while the cause lasts.
func (e Experiment) loadFactor(organisation int) float64 {
	switch {
	case e.Cause == Surge:
		return e.Times
	case e.Cause == Skew && organisation == 0:
		share := e.Deployment.Demand[0]
		return (e.Times - (1 - share)) / share
	default:
		return 1
	}
}

func (e Experiment) result(f *fleet, t *tally) Result {
	baselineRate := t.rate(rampUp, causeStart)
	r := Result{
		Deployment: e.Deployment.Name, Cause: e.Cause.String(), Times: e.Times, Policy: e.Policy.Name, Seed: e.Seed,
		Goodput: t.rate(causeStart, causeEnd) / baselineRate, RecoverySeconds: -1,
	}
	for windowStart := causeEnd; windowStart+recoveryHold <= runEnd; windowStart += sliceLength {
		if t.rate(windowStart, windowStart+recoveryHold) >= recoveryGoodput*baselineRate {
			r.RecoverySeconds = (windowStart - causeEnd).Seconds()
			break
		}
	}
	r.WorstOrganisation, r.Wrongful = e.servedShares(t.organisations, 1)
	r.WorstInteractive, _ = e.servedShares(t.interactive, e.Deployment.interactiveShare())
	var sent, succeeded int
	for _, c := range t.interactive {
		sent += c.sent
		succeeded += c.succeeded
	}
	r.Interactive = float64(succeeded) / float64(max(sent, 1))
	slices.Sort(t.latencies)
	if n := len(t.latencies); n > 0 {
		r.SlowestSeconds = t.latencies[n*99/100].Seconds()
	}
	r.MostRuns = f.maxRunsPerRequest
	if f.lentRates != nil {
		r.RateExcess = f.lentRates.sim.Checker.Excess
	}
	r.RunsPerWhole = float64(f.runs) / (t.rate(0, runEnd) * runEnd.Seconds())
	return r
}

// servedShares compares the successful responses of each organisation with its entitlement, for the given share of all
// requests. It returns the lowest fraction and the failed fraction of all entitled requests.
func (e Experiment) servedShares(organisations []counts, share float64) (worst, wrongful float64) {
	worst = 1
	var totalEntitled, totalMissed float64
	rate := e.Deployment.rate() * share
	for i, c := range organisations {
		entitled := min(float64(c.sent), rate*e.Deployment.Demand[i]*causeDuration.Seconds())
		served := min(float64(c.succeeded), entitled)
		totalEntitled += entitled
		totalMissed += entitled - served
		worst = min(worst, served/entitled)
	}
	return worst, totalMissed / totalEntitled
}
