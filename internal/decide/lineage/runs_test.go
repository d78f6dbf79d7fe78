package lineage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParentOfACall(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("A call with the time of its parent is its parent's", t, func() {
		r := New()
		r.points["b"] = 1
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
	Convey("A call that would end after all runs is nobody's", t, func() {
		r := New()
		So(r.Parent("b", start), ShouldBeNil)
		r.Begin(&Run{Route: "a"}, start)
		So(r.Parent("b", start.Add(time.Second)), ShouldBeNil)
	})
}

func TestCallsWithAShorterTime(t *testing.T) {
	// Uploads and range reads run on the same instance, and only the reads call on. The calls allow themselves less time than
	// their parents have, so nothing in them points at one. Taken for the uploads' calls, those would be
	// refused at the front when the service that only the reads use is full.
	Convey("They are taken for calls of the routes that make them", t, func() {
		r := New()
		rng := rand.New(rand.NewPCG(1, 2))
		r.rand = rng.Float64
		now := time.Unix(1000, 0)
		right, all := 0, 0
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
				all++
				if got.Route == "read" {
					right++
				}
			}
			for _, run := range runs {
				r.End(run, true)
			}
		}
		So(float64(right)/float64(all), ShouldBeGreaterThan, 0.95)
		calls := r.Calls()
		So(calls["read"]["history"], ShouldBeGreaterThan, 0.2)
		So(calls["upload"]["history"], ShouldBeLessThan, 0.1)
	})
}

func TestManyRoutes(t *testing.T) {
	// A configuration brings more pairs of routes than are kept, and all counts begin anew while runs are at work. The call
	// that such a run makes next would be divided by no runs at all, and every front would take its route's way for endless.
	Convey("Calls in a run are always a number", t, func() {
		r := New()
		start := time.Unix(1000, 0)
		for n := range 2 * mostPairs {
			run := &Run{Route: fmt.Sprint("from", n)}
			to := fmt.Sprint("to", n)
			r.Begin(run, start.Add(time.Second))
			r.points[to] = 1
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
	begun := func(r *Runs, route string) *Run {
		run := &Run{Route: route}
		r.Begin(run, start.Add(time.Second))
		return run
	}
	calling := func() *Runs {
		r := New()
		r.calls[pair{"read", "leg"}] = 1
		return r
	}
	// Guards against taking a run for one that failed by itself, and sending it and its calls again, since its call was taken for that of another.
	Convey("A failed call explains the failure of another run that makes such calls, and of one only", t, func() {
		r := calling()
		one, other := begun(r, "read"), begun(r, "read")
		r.CallFailed(one, "leg", start)
		So(r.CausedByCall(other, start.Add(time.Millisecond)), ShouldBeTrue)
		So(r.CausedByCall(one, start.Add(time.Millisecond)), ShouldBeFalse)
	})
	Convey("The run that it was taken for goes first", t, func() {
		r := calling()
		one, other := begun(r, "read"), begun(r, "read")
		r.CallFailed(other, "leg", start)
		r.CallFailed(one, "leg", start)
		So(r.CausedByCall(one, start), ShouldBeTrue)
		So(r.CausedByCall(other, start), ShouldBeTrue)
	})
	// Guards against an instance that fails by itself and goes unnoticed behind the failures of calls.
	Convey("It explains no failure of a route that makes no such calls, and none later on", t, func() {
		r := calling()
		read, upload := begun(r, "read"), begun(r, "upload")
		r.CallFailed(read, "leg", start)
		So(r.CausedByCall(upload, start), ShouldBeFalse)
		So(r.CausedByCall(read, start.Add(2*failureTime)), ShouldBeFalse)
	})
	Convey("Failures that nobody asks about are bounded", t, func() {
		r := calling()
		for range 10 * mostFailures {
			r.CallFailed(nil, "leg", start)
		}
		So(len(r.failures), ShouldEqual, mostFailures)
	})
}

func TestCallsOfRunsThatFail(t *testing.T) {
	// Guards against requests that look cheap while they fail: a run that ends with its first failed call has made one of its four, and
	// the fleet begins four times as many of them as it can end.
	start := time.Unix(1000, 0)
	play := func(r *Runs, count, calls int, well bool) {
		for range count {
			run := &Run{Route: "read"}
			r.Begin(run, start.Add(time.Second))
			r.points["leg"] = 1
			for range calls {
				r.Parent("leg", start.Add(time.Second))
			}
			r.End(run, well)
		}
	}
	Convey("Runs that ended well tell how many calls one makes, and any where there are none", t, func() {
		r := New()
		play(r, 20, 1, false)
		So(r.Calls()["read"]["leg"], ShouldEqual, 1)
		play(r, 20, 4, true)
		play(r, 2000, 1, false)
		So(r.Calls()["read"]["leg"], ShouldEqual, 4)
	})
}
