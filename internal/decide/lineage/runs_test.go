package lineage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParentByDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("A sub-call with the deadline of a run is attributed to that run", t, func() {
		r := New()
		r.matchFractions["b"] = 1
		runs := map[time.Duration]*Run{}
		for _, left := range []time.Duration{300, 900, 910, 1500} {
			runs[left] = &Run{Route: "a"}
			r.Begin(runs[left], start.Add(left*time.Millisecond))
		}
		for _, c := range []struct{ call, parent time.Duration }{{300, 300}, {302, 300}, {909, 910}, {901, 900}, {1498, 1500}} {
			So(r.Parent("b", start.Add(c.call*time.Millisecond)), ShouldEqual, runs[c.parent])
		}
		r.End(runs[910], true)
		So(r.Parent("b", start.Add(909*time.Millisecond)), ShouldEqual, runs[1500])
		So(r.Len(), ShouldEqual, 3)
	})
	Convey("A sub-call that would end after all runs has no parent", t, func() {
		r := New()
		So(r.Parent("b", start), ShouldBeNil)
		r.Begin(&Run{Route: "a"}, start)
		So(r.Parent("b", start.Add(time.Second)), ShouldBeNil)
	})
}

func TestCallsWithShorterDeadline(t *testing.T) {
	// Guards against attributing sub-calls to runs that don't make them. Uploads and range reads run on the same instance, and only reads
	// make sub-calls, with shorter timeouts than their parents have, so that no deadline matches. Attributed to uploads, they would make
	// the ingress reject uploads when the service that only reads use is saturated.
	Convey("Sub-calls without a matching deadline are attributed to runs of the routes that make them", t, func() {
		r := New()
		rng := rand.New(rand.NewPCG(1, 2))
		r.rand = rng.Float64
		now := time.Unix(1000, 0)
		r.now = func() time.Time { return now }
		correct, total := 0, 0
		for n := range 4000 {
			now = now.Add(10 * time.Millisecond)
			runs := []*Run{}
			for range 1 + rng.IntN(4) {
				runs = append(runs, &Run{Route: "read"})
			}
			for range rng.IntN(3) {
				runs = append(runs, &Run{Route: "upload"})
			}
			rng.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
			for _, run := range runs {
				r.Begin(run, now.Add(time.Duration(1000+rng.IntN(1000))*time.Millisecond))
			}
			got := r.Parent("history", now.Add(700*time.Millisecond))
			if n > 1000 {
				total++
				if got.Route == "read" {
					correct++
				}
			}
			for _, run := range runs {
				r.End(run, true)
			}
		}
		So(float64(correct)/float64(total), ShouldBeGreaterThan, 0.95)
		calls := r.Calls()
		So(calls["read"]["history"], ShouldBeGreaterThan, 0.2)
		So(calls["upload"]["history"], ShouldBeLessThan, 0.1)
	})
}

func TestCallersWhenCallsFail(t *testing.T) {
	// Guards against rejecting requests that need no overloaded service. Views and reads run on the same instance, and only reads make sub-calls.
	// While the service that these reach fails half of them, reads end early and are few, so that nearly all active runs are views.
	Convey("Sub-calls are still attributed to the route that fails with them when its runs become few", t, func() {
		r := New()
		rng := rand.New(rand.NewPCG(1, 2))
		r.rand = rng.Float64
		now := time.Unix(1000, 0)
		r.now = func() time.Time { return now }
		play := func(calls, reads, views int, failFraction float64) (attributed int) {
			for range calls {
				now = now.Add(10 * time.Millisecond)
				var runs []*Run
				for n := range reads + views {
					route := "view"
					if n < reads {
						route = "read"
					}
					runs = append(runs, &Run{Route: route})
					r.Begin(runs[n], now.Add(time.Duration(1000+rng.IntN(1000))*time.Millisecond))
				}
				parent := r.Parent("history", now.Add(700*time.Millisecond))
				if parent.Route == "read" {
					attributed++
				}
				failed := rng.Float64() < failFraction
				if failed {
					r.CallFailed(parent, "history", now)
					r.CausedByCall(runs[0], now.Add(time.Millisecond))
				}
				for n, run := range runs {
					r.End(run, n > 0 || !failed)
				}
			}
			return attributed
		}
		play(1000, 4, 1, 0)
		So(play(200, 1, 6, 0.5)+play(1000, 1, 6, 0.5), ShouldBeGreaterThan, 1140)
		So(r.Calls()["view"]["history"], ShouldBeLessThan, 0.1)
	})
	// Guards against an instance whose own failures make a route look like the caller of whatever fails at the same time.
	Convey("A run that fails long after a failed sub-call is no sign that its route makes such sub-calls", t, func() {
		r := New()
		start := time.Unix(1000, 0)
		for n := range 100 {
			at := start.Add(time.Duration(n) * time.Second)
			read, view := &Run{Route: "read"}, &Run{Route: "view"}
			r.Begin(read, at.Add(time.Second))
			r.Begin(view, at.Add(time.Second))
			r.CallFailed(read, "history", at)
			r.CausedByCall(read, at.Add(time.Millisecond))
			r.CausedByCall(view, at.Add(failureTTL/2))
		}
		So(r.callerShares[routePair{"view", "history"}], ShouldEqual, 0)
	})
}

func TestRoutePairsAreBounded(t *testing.T) {
	// Guards against a division by zero: the configuration brings more pairs of routes than are kept, and all counts are cleared while
	// runs are active. The next sub-call of such a run would be divided by no runs, and the call chain of its route would look endless.
	Convey("The number of sub-calls per run is always finite", t, func() {
		r := New()
		start := time.Unix(1000, 0)
		for n := range 2 * maxRoutePairs {
			run := &Run{Route: fmt.Sprint("from", n)}
			to := fmt.Sprint("to", n)
			r.Begin(run, start.Add(time.Second))
			r.matchFractions[to] = 1
			r.Parent(to, start.Add(time.Second))
			r.End(run, true)
			made, known := r.Calls()[run.Route][to]
			if known && (math.IsInf(made, 0) || math.IsNaN(made)) {
				So(made, ShouldBeLessThan, 2)
			}
		}
		So(len(r.Calls()), ShouldBeGreaterThan, 0)
	})
}

func TestFailedCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	begin := func(r *Runs, route string) *Run {
		run := &Run{Route: route}
		r.Begin(run, start.Add(time.Second))
		return run
	}
	newRuns := func() *Runs {
		r := New()
		r.callerShares[routePair{"read", "leg"}] = 1
		return r
	}
	// Guards against taking a run that failed because of a sub-call for one that failed by itself, and retrying it, since its sub-call was
	// attributed to another run.
	Convey("A failed sub-call accounts for one failed run, even one that it was not attributed to", t, func() {
		r := newRuns()
		one, other := begin(r, "read"), begin(r, "read")
		r.CallFailed(one, "leg", start)
		So(r.CausedByCall(other, start.Add(time.Millisecond)), ShouldBeTrue)
		So(r.CausedByCall(one, start.Add(time.Millisecond)), ShouldBeFalse)
	})
	Convey("The run that a failed sub-call was attributed to takes precedence", t, func() {
		r := newRuns()
		one, other := begin(r, "read"), begin(r, "read")
		r.CallFailed(other, "leg", start)
		r.CallFailed(one, "leg", start)
		So(r.CausedByCall(one, start), ShouldBeTrue)
		So(r.CausedByCall(other, start), ShouldBeTrue)
	})
	// Guards against an instance whose own failures are hidden by those of its sub-calls.
	Convey("A failed sub-call accounts for no failure of a route that makes no such sub-calls, and for none later on", t, func() {
		r := newRuns()
		read, upload := begin(r, "read"), begin(r, "upload")
		r.CallFailed(read, "leg", start)
		So(r.CausedByCall(upload, start), ShouldBeFalse)
		So(r.CausedByCall(read, start.Add(2*failureTTL)), ShouldBeFalse)
	})
	Convey("The number of kept failures is bounded", t, func() {
		r := newRuns()
		for range 10 * maxFailures {
			r.CallFailed(nil, "leg", start)
		}
		So(len(r.failures), ShouldEqual, maxFailures)
	})
}

func TestCallsOfFailedRuns(t *testing.T) {
	// Guards against underestimating the cost of requests that fail: a run that ends at its first failed sub-call has made one of its
	// four, and the fleet would admit four times as many requests as it can finish.
	start := time.Unix(1000, 0)
	simulate := func(r *Runs, count, calls int, succeeded bool) {
		for range count {
			run := &Run{Route: "read"}
			r.Begin(run, start.Add(time.Second))
			r.matchFractions["leg"] = 1
			for range calls {
				r.Parent("leg", start.Add(time.Second))
			}
			r.End(run, succeeded)
		}
	}
	Convey("Sub-calls are counted over successful runs, and over all runs while none has succeeded", t, func() {
		r := New()
		simulate(r, 20, 1, false)
		So(r.Calls()["read"]["leg"], ShouldEqual, 1)
		simulate(r, 20, 4, true)
		simulate(r, 2000, 1, false)
		So(r.Calls()["read"]["leg"], ShouldEqual, 4)
	})
}
