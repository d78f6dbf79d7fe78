package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/shutdown"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// TestTimeoutOfAnInstance guards against repeating a read whose instance responded 504 by itself: only a daemon that shuts down gives it less time
// than the request has.
func TestTimeoutOfAnInstance(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "signed")
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	defer server.Close()
	for _, c := range []struct {
		name       string
		cutoff     time.Duration
		endedEarly bool
	}{
		{"the daemon stays", 0, false},
		{"the daemon ends before the request's deadline", 2 * time.Second, true},
		{"the daemon ends after it", time.Minute, false},
	} {
		Convey("A 504 is the result of a shutdown only if the daemon's end comes first: "+c.name, t, func() {
			settings := Settings{Instance: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
			e := newExecutor(settings, signedHeads{}, newWarmUp(settings, signedHeads{}, logrus.New(), telemetry.NewMetrics("h", "z")), bounded.NewAccount(settings.memoryLimits()))
			defer e.instance.Close()
			e.configured = true
			if c.cutoff > 0 {
				e.setCutoff(time.Now().Add(c.cutoff))
			}
			res := e.run(t.Context(), &runRequest{
				RequestID: "1", Method: "GET", Target: "/", HTTPHost: "h", Header: headerFields{"Request-Id": {"1"}}, Remaining: 5 * time.Second, Idempotent: true,
			})
			So(res.Status, ShouldEqual, http.StatusGatewayTimeout)
			So(res.EndedEarly, ShouldEqual, c.endedEarly)
		})
	}
}

func TestOutlastingRequestIsNotHeldAgainstTheInstance(t *testing.T) {
	// Guards against keeping quick requests from the instance of a leaving daemon, which other daemons may still use, because a slow one would
	// have outlasted that daemon.
	Convey("A refused run that would outlast the daemon beside the instance doesn't make the instance unreachable", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		inst := routing.Instance{ID: "i", Slots: 20}
		e.apply(localState{instance: inst, known: true, configured: true})
		e.warmUp.pacer.Stop()
		gate := e.currentGate()
		now := time.Now()
		slow := &admission.Ticket{Operation: "slow", Deadline: now.Add(time.Hour)}
		So(gate.Arrive(now, slow).Verdict, ShouldEqual, admission.Run)
		gate.Settle(now.Add(5*time.Second), slow, admission.Result{Own: 5 * time.Second})
		e.setCutoff(now.Add(4 * time.Second))
		res := e.run(context.Background(), &runRequest{RequestID: "r", Route: "slow", Instance: inst.Incarnation(), Remaining: 10 * time.Second})
		So(res.Outcome, ShouldEqual, call.NotRun)
		So(res.Reason, ShouldEqual, call.WouldOutlast)
		So(sendResult(res, nil), ShouldNotEqual, choice.Unreachable)
	})
}

// TestNoAttemptAfterTheEnd guards against a run that a leaving daemon begins when it has no time left for the response. A gate that has seen no run
// has no reason to refuse it: the instance was given a millisecond, and a payment was begun that could only fail.
func TestNoAttemptAfterTheEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  time.Duration
		tries bool
	}{
		{"the cutoff has passed", -10 * time.Millisecond, false},
		{"no time for the response is left", finishReserve / 2, false},
		{"time is left", time.Second, true},
	} {
		Convey("A request is sent to an instance only if time is left: "+c.name, t, func() {
			r := newRouterBeside(1)
			now := time.Now()
			schedule := shutdown.Schedule{Cutoff: now.Add(c.left)}
			r.shutdown.Store(&schedule)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			req := &request{
				id: "1", arrivedAt: now, deadline: now.Add(10 * time.Second), service: "s", active: &activeRequest{},
				route: &routing.Route{Name: "r", Attempts: 1},
			}
			answer := r.dispatch(ctx, req)
			So(len(req.attempts) > 0, ShouldEqual, c.tries)
			if !c.tries {
				So(answer.Outcome, ShouldEqual, call.NotRun)
				So(answer.Reason, ShouldEqual, call.WouldOutlast)
			}
		})
	}
}
