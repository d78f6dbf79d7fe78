package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// TestFinishByOfSpacedRuns guards against a run that begins although it is likely to outlast a daemon that is shutting down: where the ends of a
// route's runs lie further apart than the decay of their estimate, the deviation shrinks with each run though the running times differ as before.
func TestFinishByOfSpacedRuns(t *testing.T) {
	const quick, slow, pause = 500 * time.Millisecond, 1500 * time.Millisecond, time.Second
	Convey("With time for the last run but not for every other one, a run isn't begun", t, func() {
		now := time.Unix(1000, 0)
		g := New(limit.NewFixed(1))
		for _, took := range repeated(20, slow, quick) {
			running := &Ticket{Operation: "run", Deadline: now.Add(time.Hour)}
			So(g.Arrive(now, running).Verdict, ShouldEqual, Run)
			now = now.Add(took)
			g.Settle(now, running, Result{Own: took})
			now = now.Add(pause)
		}
		So(g.holdTimes.upperBound("run", 0), ShouldBeGreaterThanOrEqualTo, slow)
		d := g.Arrive(now, &Ticket{Operation: "run", Deadline: now.Add(time.Hour), FinishBy: now.Add(time.Second)})
		So(d.Verdict, ShouldEqual, Refuse)
		So(d.Reason, ShouldEqual, call.WouldOutlast)
	})
}
