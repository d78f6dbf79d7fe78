package chain

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
)

// runAll runs the experiments concurrently and returns their results in order.
func runAll(all []Experiment) []Result {
	results := make([]Result, len(all))
	var running sync.WaitGroup
	for i, e := range all {
		running.Go(func() { results[i] = e.Run() })
	}
	running.Wait()
	return results
}

// Guards against an overload that outlasts its cause. Demand exceeds capacity, or the last service slows down, and callers
// retry failed requests within 100 ms; a fleet that admits everything works for callers that have given up, also after the
// cause has ended.
func TestOverloadAndRecovery(t *testing.T) {
	cases := []struct {
		cause Cause
		times float64
		// goodput, worst and interactive are lower bounds.
		goodput, worst, interactive float64
	}{
		{Surge, 2, 0.95, 0.95, 0.95},
		{Surge, 5, 0.95, 0.95, 0.95},
		{Surge, 10, 0.95, 0.95, 0.95},
		// The largest organisation sends all of the excess.
		{Skew, 2, 0.95, 0.5, 0.95},
		{Skew, 5, 0.95, 0.4, 0.95},
		// The last service has 1/times of its capacity, which was 1.25 times load 1.
		{Slow, 2, 0.95 * 1.25 / 2, 0.45, 0.9},
		{Slow, 5, 0.9 * 1.25 / 5, 0.15, 0.35},
		{OneSlow, 5, 0.9, 0.95, 0.95},
	}
	var all []Experiment
	for _, c := range cases {
		for _, d := range []Deployment{Rejestr(), Desarrollos()} {
			all = append(all, Experiment{Deployment: d, Policy: Ours(), Cause: c.cause, Times: c.times, Seed: 7})
		}
	}
	results := runAll(all)
	for i, r := range results {
		c := cases[i/2]
		Convey(fmt.Sprintf("%s, %s %gx: goodput stays above the bounds, and recovers within 2 s", r.Deployment, r.Cause, r.Times), t, func() {
			So(r.Goodput, ShouldBeGreaterThanOrEqualTo, c.goodput)
			So(r.WorstOrganisation, ShouldBeGreaterThanOrEqualTo, c.worst)
			So(r.WorstInteractive, ShouldBeGreaterThanOrEqualTo, c.interactive)
			So(r.RecoverySeconds, ShouldBeBetweenOrEqual, 0, 2)
		})
	}
}

func TestComparedWithNaive(t *testing.T) {
	Convey("The naive fleet does not recover; the daemon's policy does, with fewer runs for each successful response", t, func() {
		e := Experiment{Deployment: Rejestr(), Cause: Slow, Times: 5, Seed: 7}
		naive, ours := e, e
		naive.Policy, ours.Policy = Naive(), Ours()
		results := runAll([]Experiment{naive, ours})
		So(results[0].RecoverySeconds, ShouldEqual, -1)
		So(results[1].RecoverySeconds, ShouldBeBetweenOrEqual, 0, 2)
		So(results[1].RunsPerWhole, ShouldBeLessThan, results[0].RunsPerWhole)
	})
	Convey("The same seed gives the same result", t, func() {
		e := Experiment{Deployment: Desarrollos(), Policy: Ours(), Cause: Surge, Times: 2, Seed: 3}
		results := runAll([]Experiment{e, e})
		So(results[0], ShouldResemble, results[1])
	})
}

// Guards against one organisation's surge taking the tokens or slots of others: it sends five times its rate through every
// host, and the others stay within their rates.
func TestRatesProtectOrganisations(t *testing.T) {
	var all []Experiment
	for _, lent := range []bool{false, true} {
		p := Ours()
		p.RateFactor, p.LendRates = 1.2, lent
		for _, d := range []Deployment{Rejestr(), Desarrollos()} {
			all = append(all, Experiment{Deployment: d, Policy: p, Cause: Skew, Times: 5, Seed: 7})
		}
	}
	for i, r := range runAll(all) {
		Convey(fmt.Sprintf("%s, rates lent %v: the other organisations get their rates", r.Deployment, all[i].Policy.LendRates), t, func() {
			So(r.WorstOrganisation, ShouldBeGreaterThan, 0.95)
			So(r.Wrongful, ShouldBeLessThan, 0.01)
			So(r.RateExcess, ShouldEqual, 0)
		})
	}
}

// Guards against unbounded retries in a deep chain. Upstreams retry failed sub-calls themselves, and the last service loses
// four responses in ten; without a run budget, one request runs hundreds of times, and retries keep the fleet busy after the
// loss has ended.
func TestDeepChain(t *testing.T) {
	deep := Experiment{Deployment: Deep(16, 1), Policy: Ours(), Cause: DeepLossy, Times: 5, Seed: 7}
	Convey("No request exceeds its run budget, goodput is near what the response loss allows, and it recovers", t, func() {
		r := deep.Run()
		So(r.MostRuns, ShouldBeLessThanOrEqualTo, deep.Policy.Budget)
		So(r.Goodput, ShouldBeGreaterThan, 0.9*1.25*0.6)
		So(r.RecoverySeconds, ShouldBeBetweenOrEqual, 0, 2)
	})
}

func TestPlacingOfOneSlowInstance(t *testing.T) {
	Convey("Placement by two random choices has a lower 99th percentile of latency than round robin", t, func() {
		roundRobin := Ours()
		roundRobin.Placing = placing.RoundRobin
		e := Experiment{Deployment: Rejestr(), Policy: Ours(), Cause: OneSlow, Times: 5, Seed: 7}
		other := e
		other.Policy = roundRobin
		results := runAll([]Experiment{e, other})
		So(results[0].SlowestSeconds, ShouldBeLessThan, results[1].SlowestSeconds)
	})
}
