package daemon

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// A key is withdrawn while a request of its organisation waits for a slot. Without a check after the wait the request
// would run for an organisation that no longer has access.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	Convey("A request whose key was withdrawn leaves the queue without running and releases its slot", t, func() {
		s := settings.Default()
		s.Slots = 1
		s.QueueTime = time.Minute
		e := newExecutor(s, upstream.New(netip.MustParseAddrPort("127.0.0.1:1")))
		running := &admission.Ticket{Organisation: "other", Operation: "op", Deadline: time.Now().Add(time.Minute)}
		So(e.gate.Arrive(time.Now(), running).Verdict, ShouldEqual, admission.Run)
		answered := make(chan call.Answer)
		go func() {
			r := &call.Request{Organisation: "dealer", Operation: "op", Deadline: time.Now().Add(time.Minute), Budget: 4}
			answered <- e.run(context.Background(), r, time.Time{}, func(context.Context) call.Reason { return call.UnknownKey })
		}()
		for e.gate.Load().Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		e.gate.Settle(time.Now(), running, admission.Result{Own: time.Millisecond})
		a := <-answered
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.UnknownKey)
		So(a.BudgetLeft, ShouldEqual, 4)
		So(e.gate.Load().InFlight, ShouldEqual, 0)
	})
}

// A request waits in the queue until shortly before its deadline. If it were refused in the last instant, the daemon that
// forwarded it would have stopped waiting and would report an unknown outcome for a request that never ran.
func TestQueueRefusalBeforeTheDeadline(t *testing.T) {
	cases := []struct {
		timeout, left time.Duration
	}{
		{50 * time.Millisecond, 5 * time.Millisecond},
		{time.Second, maxRefusalTime},
		{10 * time.Second, maxRefusalTime},
	}
	for _, c := range cases {
		Convey("With a timeout of "+c.timeout.String(), t, func() {
			synctest.Test(t, func(t *testing.T) {
				s := settings.Default()
				s.Slots = 1
				s.QueueTime = time.Minute
				e := newExecutor(s, upstream.New(netip.MustParseAddrPort("127.0.0.1:1")))
				running := &admission.Ticket{Organisation: "other", Operation: "op", Deadline: time.Now().Add(time.Hour)}
				e.gate.Arrive(time.Now(), running)
				r := &call.Request{Organisation: "dealer", Operation: "op", Deadline: time.Now().Add(c.timeout), Budget: 4}
				a := e.run(t.Context(), r, time.Time{}, nil)
				if left := time.Until(r.Deadline); a.Outcome != call.NotRun || left != c.left {
					t.Errorf("outcome %v with %s left, want %s", a.Outcome, left, c.left)
				}
			})
		})
	}
}
