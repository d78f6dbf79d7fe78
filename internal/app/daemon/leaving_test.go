package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// taughtExecutor has one slot, and its gate has seen runs of 4 s. No upstream listens at its address.
func taughtExecutor() *executor {
	s := settings.Default()
	s.Slots = 1
	s.QueueTime = time.Minute
	e := newExecutor(s, upstream.New(netip.MustParseAddrPort("127.0.0.1:1")))
	e.ending = newEnding()
	now := time.Now()
	for range 20 {
		ticket := &admission.Ticket{Operation: "op", Deadline: now.Add(time.Hour)}
		e.gate.Arrive(now, ticket)
		e.gate.Settle(now.Add(4*time.Second), ticket, admission.Result{Own: 4 * time.Second})
	}
	return e
}

// TestRunsOfLeavingDaemon guards against a run that begins at the upstream of a leaving daemon, or on behalf of one, and goes on when that daemon
// ends: its caller reads a closed connection, or that the outcome is unknown.
func TestRunsOfLeavingDaemon(t *testing.T) {
	const left = 3 * time.Second
	cases := []struct {
		name string
		// cutoff and finishBy are what this daemon and the one that forwarded the request have left; 0 if they aren't leaving.
		cutoff, finishBy time.Duration
		// leavesAfter is when the daemon begins to leave after the request arrived and waits for a slot.
		leavesAfter time.Duration
		reason      call.Reason
	}{
		{"nobody leaves", 0, 0, 0, call.NoUpstream},
		{"this daemon leaves", left, 0, 0, call.WouldOutlast},
		{"the other daemon leaves", 0, left, 0, call.WouldOutlast},
		{"this daemon has time, the other hasn't", time.Minute, left, 0, call.WouldOutlast},
		{"the other daemon has time, this one hasn't", left, time.Minute, 0, call.WouldOutlast},
		{"both have time", time.Minute, time.Minute, 0, call.NoUpstream},
		{"this daemon leaves while the request waits", left, 0, time.Second, call.WouldOutlast},
		{"this daemon leaves with time while the request waits", time.Minute, 0, time.Second, call.NoUpstream},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				e, now := taughtExecutor(), time.Now()
				if c.leavesAfter > 0 {
					running := &admission.Ticket{Operation: "other", Deadline: now.Add(time.Hour)}
					e.gate.Arrive(now, running)
					time.AfterFunc(c.leavesAfter, func() { e.ending.begin(time.Now().Add(c.cutoff)) })
					time.AfterFunc(2*c.leavesAfter, func() { e.gate.Settle(time.Now(), running, admission.Result{Own: time.Second}) })
				} else if c.cutoff > 0 {
					e.ending.begin(now.Add(c.cutoff))
				}
				var finishBy time.Time
				if c.finishBy > 0 {
					finishBy = now.Add(c.finishBy)
				}
				r := &call.Request{Operation: "op", Deadline: now.Add(time.Hour), Budget: 4}
				a := e.run(t.Context(), r, finishBy, nil)
				if a.Outcome != call.NotRun || a.Reason != c.reason || a.RetryAfter <= 0 || a.BudgetLeft != 4 {
					t.Errorf("%v for %v with Retry-After %v and budget %d, want notRun for %v with both", a.Outcome, a.Reason, a.RetryAfter, a.BudgetLeft, c.reason)
				}
				if inFlight := e.gate.Load().InFlight; inFlight != 0 {
					t.Errorf("%d slots in use afterwards", inFlight)
				}
			})
		})
	}
}

// TestRunIsEndedAtTheCutoff guards against a run that lasts longer than expected and outlives a daemon on its way, and against an end of the run
// with an idempotency key, whose response the key's holder keeps for the caller's retry.
func TestRunIsEndedAtTheCutoff(t *testing.T) {
	cutoff, finishBy := time.Unix(1010, 0), time.Unix(1005, 0)
	plain, keyed := &call.Request{}, &call.Request{IdempotencyKey: "k"}
	repeatable := &call.Request{IdempotencyKey: "k", Idempotent: true}
	for _, c := range []struct {
		name             string
		r                *call.Request
		finishBy, cutoff time.Time
		want             time.Time
	}{
		{"nobody leaves", plain, time.Time{}, time.Time{}, time.Time{}},
		{"this daemon leaves", plain, time.Time{}, cutoff, cutoff},
		{"the other one leaves", plain, finishBy, time.Time{}, finishBy},
		{"both leave", plain, finishBy, cutoff, finishBy},
		{"the key isn't used", repeatable, finishBy, cutoff, finishBy},
		{"with a key, both leave", keyed, finishBy, cutoff, cutoff},
		{"with a key, the other one leaves", keyed, finishBy, time.Time{}, time.Time{}},
	} {
		Convey(c.name, t, func() {
			So(runLimit(c.r, c.finishBy, c.cutoff), ShouldEqual, c.want)
		})
	}
}

// TestAttemptsAfterTheCutoff guards against a request that a leaving daemon hands on or repeats when it has no time left for the response.
func TestAttemptsAfterTheCutoff(t *testing.T) {
	for _, c := range []struct {
		name, key string
		left      time.Duration
		reason    call.Reason
	}{
		{"no time left", "", -time.Second, call.WouldOutlast},
		{"no time left, with a key", "k", -time.Second, call.WouldOutlast},
		{"time left", "", time.Minute, call.NoUpstream},
	} {
		Convey(c.name, t, func() {
			d := forwardingDaemon(t, func(req runRequest) runResult {
				refusal := call.Refuse(call.NoUpstream, time.Second)
				refusal.BudgetLeft = req.Budget
				return newRunResult(refusal)
			})
			d.ending = newEnding()
			d.ending.begin(time.Now().Add(c.left))
			a := admittedRequest{account: budget.New(8), request: call.Request{
				ID: "r1", Organisation: "dealer", Operation: "lookup.book", Service: "lookup", IdempotencyKey: c.key, Budget: 8,
				Deadline: time.Now().Add(time.Minute),
			}}
			answer := d.dedup.route(context.Background(), a)
			So(answer.Outcome.String(), ShouldEqual, call.NotRun.String())
			So(answer.Reason.String(), ShouldEqual, c.reason.String())
			So(answer.RetryAfter, ShouldBeGreaterThan, 0)
			So(answer.BudgetLeft, ShouldEqual, 8)
		})
	}
	Convey("The time that is left is sent with each attempt, less the way back of the response", t, func() {
		now := time.Unix(1000, 0)
		r := &call.Request{Deadline: now.Add(time.Minute)}
		for _, c := range []struct {
			finishBy, want time.Time
		}{
			{time.Time{}, time.Time{}},
			{now.Add(time.Second), now.Add(time.Second - maxReturnTime)},
			{now.Add(-time.Second), now.Add(1)},
		} {
			req := newRunRequest(r, c.finishBy, now)
			So(req.finishBy(now), ShouldEqual, c.want)
			So(req.Remaining, ShouldEqual, time.Minute-maxReturnTime)
		}
	})
	Convey("The time on the way is taken off both times, and a bound remains one", t, func() {
		req := &runRequest{Remaining: 5 * time.Second, FinishWithin: 2 * time.Second}
		peer.Aging(req).Age(time.Second)
		So(req.Remaining, ShouldEqual, 4*time.Second)
		So(req.FinishWithin, ShouldEqual, time.Second)
		req.Age(time.Minute)
		So(req.FinishWithin, ShouldBeGreaterThan, 0)
		req = &runRequest{Remaining: 5 * time.Second}
		req.Age(time.Second)
		So(req.FinishWithin, ShouldEqual, 0)
	})
}

// TestExecutorLearnsTheCutoff guards against an executor that compares runs with another end than the daemon's.
func TestExecutorLearnsTheCutoff(t *testing.T) {
	Convey("The executor of a new daemon has the daemon's cutoff", t, func() {
		s := settings.Default()
		s.Host, s.Service, s.Zone = "h", "lookup", "a"
		d := New(s, telemetry.NewLog(io.Discard, s.LogLevel))
		So(d.executor.ending.cutoff().IsZero(), ShouldBeTrue)
		cutoff := time.Unix(1000, 0)
		d.ending.begin(cutoff)
		So(d.executor.ending.cutoff(), ShouldEqual, cutoff)
	})
}

// TestRequestsAtTheCutoff guards against a request that is still at work when a leaving daemon closes its connections, so that its caller reads a
// closed connection, and against one that its caller cancelled and that counts as ended by the cutoff.
func TestRequestsAtTheCutoff(t *testing.T) {
	const shortly = 50 * time.Millisecond
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(hanging.Close)
	address := netip.MustParseAddrPort(hanging.Listener.Addr().String())
	request := func() *call.Request {
		return &call.Request{ID: "r1", Operation: "op", Service: "lookup", Method: http.MethodPost, Path: "/", Header: call.Header{}, Budget: 4, Deadline: time.Now().Add(time.Minute)}
	}
	for _, c := range []struct {
		name    string
		cancels bool
		want    call.Reason
	}{
		{"ended by the cutoff", false, call.AnswerLost},
		{"cancelled by the caller", true, call.Cancelled},
	} {
		ending := func(t *testing.T) (*ending, context.Context) {
			e := newEnding()
			ctx, cancel := context.WithCancel(t.Context())
			if c.cancels {
				time.AfterFunc(shortly, cancel)
				return e, ctx
			}
			t.Cleanup(cancel)
			t.Cleanup(e.begin(time.Now().Add(shortly)))
			return e, ctx
		}
		Convey("A run beside the daemon, "+c.name, t, func() {
			d := singleHostDaemon(address)
			e, ctx := ending(t)
			d.executor.ending = e
			a := d.executor.run(ctx, request(), time.Time{}, nil)
			So(a.Outcome.String(), ShouldEqual, call.Unknown.String())
			So(a.Reason.String(), ShouldEqual, c.want.String())
			So(d.executor.gate.Load().InFlight, ShouldEqual, 0)
		})
		Convey("A run on another host, "+c.name, t, func() {
			released := make(chan struct{})
			defer close(released)
			d := forwardingDaemon(t, func(runRequest) runResult {
				<-released
				return runResult{}
			})
			e, ctx := ending(t)
			d.ending = e
			host, _ := d.view.Load().Host("away-1")
			a := d.send(ctx, host, request(), time.Time{}, nil)
			So(a.Outcome.String(), ShouldEqual, call.Unknown.String())
			So(a.Reason.String(), ShouldEqual, c.want.String())
		})
	}
}
