package mesh

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// fatalScene is a service of so many instances beside others that make sub-calls to it, with clients that send a request which crashes the instances
// of the service.
func fatalScene(instances int, subcalls bool, seed uint64) Scenario {
	ones := func(n int) []float64 {
		factors := make([]float64, n)
		for i := range factors {
			factors[i] = 1
		}
		return factors
	}
	rank := shed.Rank{Organisation: 1, Route: 1}
	s := Scenario{
		Zones: 3, Seed: seed, RetryLimits: repeats.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Services: []Service{{Name: "leaf", WorkFactors: ones(instances), Slots: 36}, {Name: "page", WorkFactors: ones(3), Slots: 36}},
		Routes: []Route{
			{Name: "other", Service: "leaf", ArrivalRate: 200, Work: 60 * time.Millisecond, Rank: rank, Target: time.Second, Timeout: 3 * time.Second, Patience: 3 * time.Second, Attempts: 2},
			{Name: "fatal", Service: "leaf", ArrivalRate: 6, Work: fatalWork, Fatal: true, Rank: rank, Target: time.Second, Timeout: 3 * time.Second, Patience: 3 * time.Second, Attempts: 2},
		},
	}
	if subcalls {
		s.Routes[1].ArrivalRate = 0
		s.Routes = append(s.Routes, Route{
			Name: "page", Service: "page", ArrivalRate: 6, Work: 10 * time.Millisecond, Subcalls: []Subcall{{Route: "fatal", Count: 1}}, Rank: rank,
			Target: time.Second, Timeout: 3 * time.Second, Patience: 3 * time.Second, Attempts: 2,
		})
	}
	return s
}

// maxFatalCrashes is how many instances a content may crash, besides those at which it is at work already.
const maxFatalCrashes = 3

// underWayAt returns how many fatal requests were at work elsewhere at the crash with the number.
func underWayAt(r Result, crash int) int {
	if len(r.FatalUnderWay) < crash {
		return 0
	}
	return r.FatalUnderWay[crash-1]
}

// TestContentThatCrashesInstances guards against a request that crashes more instances the more of them there are, with clients that send it six times
// a second for three seconds.
func TestContentThatCrashesInstances(t *testing.T) {
	for _, c := range []struct {
		instances int
		subcalls  bool
	}{
		{14, false},
		{14, true},
		{300, false},
		{982, false},
		{3400, false},
	} {
		for seed := range uint64(3) {
			Convey(fmt.Sprintf("Of %d instances, by sub-calls: %v, seed %d", c.instances, c.subcalls, seed), t, func() {
				r := Simulate(fatalScene(c.instances, c.subcalls, seed), 3*time.Second)
				So(r.Crashes["leaf"], ShouldBeLessThanOrEqualTo, maxFatalCrashes+underWayAt(r, maxFatalCrashes))
				others := r.Between("other", 0, 2*time.Second)
				So(others.Goodput(), ShouldBeGreaterThanOrEqualTo, 0.95)
				t.Logf("%d instances, by sub-calls: %v, seed %d: %d crashes, under way at each %v, %.3f of the others served", c.instances, c.subcalls, seed, r.Crashes["leaf"], r.FatalUnderWay, others.Goodput())
			})
		}
	}
	Convey("Without the mechanism they crash one after the other", t, func() {
		s := fatalScene(14, false, 0)
		s.Without = mechanism.SetOf(mechanism.Quarantine)
		So(Simulate(s, 3*time.Second).Crashes["leaf"], ShouldBeGreaterThan, 10)
	})
}
