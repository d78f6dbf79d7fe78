package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// gateThatRan returns a gate of one slot on which the operation ran for each of the times.
func gateThatRan(now time.Time, times ...time.Duration) *Gate {
	g := New(limit.NewFixed(1), WithWait(10*time.Second))
	for _, took := range times {
		t := &Ticket{Operation: "run", Deadline: now.Add(time.Hour)}
		So(g.Arrive(now, t).Verdict, ShouldEqual, Run)
		g.Settle(now.Add(took), t, Result{Own: took})
	}
	return g
}

// repeated returns the times, so many times over.
func repeated(count int, times ...time.Duration) []time.Duration {
	var all []time.Duration
	for range count {
		all = append(all, times...)
	}
	return all
}

// TestFinishBy guards against a run that begins although it is likely to last longer than a daemon on its way, which is shutting down: it would be
// cut, and its caller would not learn what became of it.
func TestFinishBy(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		times []time.Duration
		usual time.Duration
		left  time.Duration
		runs  bool
	}{
		{"time for the run and some more", repeated(20, time.Second), 0, 1100 * time.Millisecond, true},
		{"less time than a run takes", repeated(20, time.Second), 0, 900 * time.Millisecond, false},
		{"no time left", repeated(20, time.Second), 0, -time.Second, false},
		{"time for the mean, where runs differ", repeated(20, 500*time.Millisecond, 1500*time.Millisecond), 0, 1500 * time.Millisecond, false},
		{"time for all of them, where runs differ", repeated(20, 500*time.Millisecond, 1500*time.Millisecond), 0, 3500 * time.Millisecond, true},
		{"a run that became slow", append(repeated(20, 100*time.Millisecond), repeated(10, 2*time.Second)...), 0, time.Second, false},
		{"not seen yet, time for the usual", nil, time.Second, 1100 * time.Millisecond, true},
		{"not seen yet, less time than usual", nil, time.Second, 900 * time.Millisecond, false},
		{"not seen yet, nothing known", nil, 0, time.Millisecond, true},
	} {
		Convey(c.name, t, func() {
			g := gateThatRan(now, c.times...)
			d := g.Arrive(now, &Ticket{Operation: "run", Deadline: now.Add(time.Hour), FinishBy: now.Add(c.left), UsualTime: c.usual})
			if c.runs {
				So(d.Verdict, ShouldEqual, Run)
				return
			}
			So(d.Verdict, ShouldEqual, Refuse)
			So(d.Reason, ShouldEqual, call.WouldOutlast)
		})
	}
	Convey("A request that waits is refused when the time for a run is over, and doesn't start any more", t, func() {
		g := gateThatRan(now, repeated(20, time.Second)...)
		running := &Ticket{Operation: "run", Deadline: now.Add(time.Hour)}
		So(g.Arrive(now, running).Verdict, ShouldEqual, Run)
		decided := make(chanWaiter, 1)
		waiting := &Ticket{Operation: "run", Deadline: now.Add(time.Hour), FinishBy: now.Add(1500 * time.Millisecond), Waiter: decided}
		So(g.Arrive(now, waiting).Verdict, ShouldEqual, Wait)
		So(waiting.StartBy(), ShouldHappenBetween, now.Add(300*time.Millisecond), now.Add(500*time.Millisecond))
		Convey("when its time comes", func() {
			d, left := g.Leave(waiting.StartBy(), waiting)
			So(left, ShouldBeTrue)
			So(d.Reason, ShouldEqual, call.WouldOutlast)
		})
		Convey("when a slot gets free after that", func() {
			g.Settle(now.Add(time.Second), running, Result{Own: time.Second})
			So((<-decided).Reason, ShouldEqual, call.WouldOutlast)
		})
		Convey("when runs have become longer since it began to wait", func() {
			g.Settle(now.Add(100*time.Millisecond), running, Result{Own: 10 * time.Second})
			for range 5 {
				g.holdTimes.record("run", 10*time.Second, now)
			}
			d := g.Arrive(now.Add(200*time.Millisecond), &Ticket{Operation: "run", Deadline: now.Add(time.Hour), FinishBy: now.Add(1500 * time.Millisecond)})
			So(d.Reason, ShouldEqual, call.WouldOutlast)
		})
	})
}

// TestFinishByOfUnseenOperation guards against a run that begins with milliseconds left because its operation has neither run on the instance nor
// a latency target.
func TestFinishByOfUnseenOperation(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		left  time.Duration
		usual time.Duration
		runs  bool
	}{
		{"less time than the others take", 500 * time.Millisecond, 0, false},
		{"time for a run like the others", 1100 * time.Millisecond, 0, true},
		{"its target goes first", 500 * time.Millisecond, 100 * time.Millisecond, true},
	} {
		Convey("An operation that hasn't run yet, beside others of 1 s, "+c.name, t, func() {
			g := gateThatRan(now, repeated(100, time.Second)...)
			d := g.Arrive(now, &Ticket{Operation: "unseen", Deadline: now.Add(time.Hour), FinishBy: now.Add(c.left), UsualTime: c.usual})
			So(d.Verdict == Run, ShouldEqual, c.runs)
		})
	}
}
