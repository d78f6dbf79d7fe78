package router

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

var (
	leavingSender = netip.MustParseAddrPort("10.0.0.8:4711")
	stayingSender = netip.MustParseAddrPort("10.0.0.9:4711")
)

// boundedRun is the request that a sender hands over.
func boundedRun(id string) runRequest {
	return runRequest{RequestID: id, Instance: singleSlot.Incarnation(), Route: "r", Remaining: 40 * time.Second}
}

// newBoundRouter returns a router whose gate has seen runs of 2 s and whose only slot is in use; free frees it.
func newBoundRouter(t *testing.T) (r *Router, free func()) {
	r = newRouterBeside(1)
	r.executor.apply(localState{instance: singleSlot, known: true, configured: true, table: tableOf(40 * time.Second)})
	gate, now := r.executor.currentGate(), time.Now()
	seen := &admission.Ticket{Operation: "r", Weight: 1, Deadline: now.Add(time.Minute)}
	gate.Arrive(now, seen)
	gate.Settle(now.Add(2*time.Second), seen, admission.Result{Own: 2 * time.Second})
	running := &admission.Ticket{Operation: "other", Weight: 1, Deadline: now.Add(time.Minute)}
	gate.Arrive(now, running)
	t.Cleanup(r.executor.stop)
	return r, func() { gate.Settle(time.Now(), running, admission.Result{Withdrawn: true}) }
}

// handOver hands a request over and waits until it waits for a slot.
func handOver(r *Router, from netip.AddrPort, id string) <-chan runResult {
	results := make(chan runResult, 1)
	queued := r.executor.currentGate().Load().Queued
	go func() { results <- r.handleRun(context.Background(), from, boundedRun(id)) }()
	for r.executor.currentGate().Load().Queued == queued {
		time.Sleep(time.Millisecond)
	}
	return results
}

// resultWithin returns the result, or none if it doesn't come within a second.
func resultWithin(results <-chan runResult) (res runResult) {
	select {
	case res = <-results:
	case <-time.After(time.Second):
	}
	return res
}

// TestWaitEndsAtTheLatestStart guards against a request that waits for a slot at another daemon until the leaving daemon that handed it over ends:
// its caller hears that the outcome is unknown, although nothing was run and another instance could have run it.
func TestWaitEndsAtTheLatestStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		finishIn time.Duration
	}{
		{"the run would already outlast the sender", time.Second},
		{"the last moment to start comes while it waits", 5*time.Second + 200*time.Millisecond},
	} {
		Convey("The wait ends with a refusal that says not run: "+c.name, t, func() {
			r, _ := newBoundRouter(t)
			results := handOver(r, leavingSender, "1")
			r.handleFinishBound(context.Background(), leavingSender, finishBound{FinishIn: c.finishIn})
			res := resultWithin(results)
			So(res.Outcome, ShouldEqual, call.NotRun)
			So(res.Reason, ShouldEqual, call.WouldOutlast)
			So(res.Arrived, ShouldBeFalse)
		})
	}
}

// TestBoundHoldsForItsSender guards against a request of a daemon that stays which is refused, or given too little time, because a leaving daemon has
// handed over one with the same id: callers choose the ids, and one that tries again keeps it.
func TestBoundHoldsForItsSender(t *testing.T) {
	Convey("The run for another daemon goes on to the instance", t, func() {
		r, free := newBoundRouter(t)
		staying := handOver(r, stayingSender, "1")
		r.handleFinishBound(context.Background(), leavingSender, finishBound{FinishIn: time.Second})
		free()
		// No instance listens.
		So(resultWithin(staying).Reason, ShouldEqual, call.NoUpstream)
	})
}

// TestBoundBeforeTheRequest guards against a run that outlasts the leaving daemon because its request, which goes over a connection of its own, arrives
// after the message that bounds it.
func TestBoundBeforeTheRequest(t *testing.T) {
	Convey("A bound also holds for the sender's requests that were on their way", t, func() {
		r, free := newBoundRouter(t)
		free()
		r.handleFinishBound(context.Background(), leavingSender, finishBound{FinishIn: 1500 * time.Millisecond})
		So(r.handleRun(context.Background(), leavingSender, boundedRun("1")).Reason, ShouldEqual, call.WouldOutlast)
		So(r.handleRun(context.Background(), stayingSender, boundedRun("2")).Reason, ShouldEqual, call.NoUpstream)
	})
	Convey("It ends before a daemon can have started again on the host, and leaves nothing behind", t, func() {
		var bounds senderBounds
		now := time.Now()
		bounds.add(leavingSender.Addr(), now.Add(5*time.Second), now)
		_, ok := bounds.of(leavingSender.Addr(), now.Add(boundTTL))
		So(ok, ShouldBeTrue)
		_, ok = bounds.of(leavingSender.Addr(), now.Add(boundTTL+1))
		So(ok, ShouldBeFalse)
		_, ok = bounds.of(stayingSender.Addr(), now)
		So(ok, ShouldBeFalse)
		bounds.add(stayingSender.Addr(), now.Add(boundTTL/2), now.Add(2*boundTTL))
		So(bounds.byHost, ShouldHaveLength, 1)
	})
}
