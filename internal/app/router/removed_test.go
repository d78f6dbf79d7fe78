package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// TestWaitForARemovedInstance guards against requests that wait for an instance whose entry was removed without a report that it is draining: they
// reach it later than its drain time allows, or when it is ending, and are cut.
func TestWaitForARemovedInstance(t *testing.T) {
	const drainTime = 200 * time.Millisecond
	local := localState{instance: singleSlot, known: true, configured: true, table: tableOf(40 * time.Second)}
	removed := local
	removed.known = false
	Convey("The wait ends with a refusal that says not run when the instance's entry is removed", t, func() {
		e := newTestExecutor(Settings{DrainTime: drainTime})
		defer e.stop()
		e.apply(local)
		results := waitingRequest(t, e)
		e.apply(removed)
		var res runResult
		select {
		case res = <-results:
		case <-time.After(time.Second):
		}
		So(res.Outcome, ShouldEqual, call.NotRun)
		So(res.Reason, ShouldEqual, call.NoUpstream)
		So(res.Arrived, ShouldBeFalse)
	})
	Convey("A request that gets a slot later than the drain time after the removal isn't sent", t, func() {
		e := newTestExecutor(Settings{DrainTime: drainTime})
		defer e.stop()
		e.apply(local)
		req := &runRequest{Instance: singleSlot.Incarnation(), Route: "r", Remaining: 40 * time.Second}
		So(e.closedAtStart(req, time.Now()), ShouldEqual, call.None)
		e.apply(removed)
		So(e.closedAtStart(req, time.Now().Add(drainTime)), ShouldEqual, call.NoUpstream)
	})
}
