package router

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/shutdown"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

func TestShutdownReserve(t *testing.T) {
	// Guards against a daemon that is killed while it closes its ports: the steps after the last request took up to 1.25 s, and
	// half a second was reserved for them.
	Convey("The shutdown reserve covers the longest close of the callers' port, and leaves callers their notice period", t, func() {
		const leaveTime = 6 * time.Second
		// Guards against steps that take exactly what is reserved for them: the process was killed at the last one.
		So(shutdownReserve-httpd.StopSlack-peersReserve, ShouldBeGreaterThan, 200*time.Millisecond)
		schedule := shutdown.New(time.Unix(0, 0), leaveTime, shutdown.Closing{Port: httpd.MaxBacklogTime, Rest: shutdownReserve})
		So(schedule.PortEnd, ShouldHappenAfter, schedule.NoticeEnd.Add(quietPeriod))
	})
}

func TestLeavingDaemonReportsNoSlots(t *testing.T) {
	// Guards against a fleet that admits as much as before while an instance's daemon restarts and nothing is sent to the instance.
	Convey("An instance whose daemon is leaving reports no slots", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		e.apply(localState{instance: routing.Instance{ID: "i", Slots: 20}, known: true, configured: true})
		staying, _ := e.report(false, time.Now())
		So(staying.Slots, ShouldEqual, 19)
		leaving, _ := e.report(true, time.Now())
		So(leaving.Slots, ShouldEqual, 0)
	})
}

// TestSubcallsWithoutOrganisations guards against refusing a sub-call for its deadline where nothing but the deadline tells it from a caller's
// request: the run that makes it was accepted before the order and fails.
func TestSubcallsWithoutOrganisations(t *testing.T) {
	const leaveTime = 6 * time.Second
	now := time.Now()
	schedule := shutdown.New(now.Add(-3*time.Second), leaveTime, shutdown.Closing{Port: httpd.MaxBacklogTime, Rest: shutdownReserve})
	for _, c := range []struct {
		name string
		// run is the time that is left to the active run, 0 if there is none; timeout is that of the request.
		run, timeout time.Duration
		keyed, stops bool
	}{
		{"the run's own deadline", 7 * time.Second, 7 * time.Second, false, false},
		{"a shorter time than the run has", 7 * time.Second, 4 * time.Second, false, false},
		{"no time of its own", 7 * time.Second, 0, false, false},
		{"more time than any run has", 7 * time.Second, 10 * time.Second, false, true},
		{"no run is active", 0, 7 * time.Second, false, true},
		{"no run is active and no time is stated", 0, 0, false, true},
		{"a caller with a key", 7 * time.Second, 7 * time.Second, true, true},
	} {
		Convey("A request after the notice period, "+c.name, t, func() {
			r := newRouterBeside(1)
			r.shutdown.Store(&schedule)
			if c.run > 0 {
				r.executor.runs.Begin(&lineage.Run{Route: "a"}, now.Add(c.run))
			}
			req := &request{arrivedAt: now, deadline: now.Add(effectiveTimeout(c.timeout, 0)), unkeyed: !c.keyed}
			So(r.stopsBefore(req, c.timeout), ShouldEqual, c.stops)
		})
	}
}

// TestRefusalsBeforeTheAttempt guards against callers whose retry meets the same leaving daemon: a refusal that doesn't come from an attempt, such as
// one for overload or for a missing configuration, invited them back long before they find another host.
func TestRefusalsBeforeTheAttempt(t *testing.T) {
	Convey("A leaving daemon's refusal states when callers find another host", t, func() {
		r := New(Settings{}, fixedSource{}, signedHeads{}, telemetry.NewLog(io.Discard, logrus.InfoLevel))
		schedule := shutdown.New(time.Now(), 6*time.Second, shutdown.Closing{Port: httpd.MaxBacklogTime, Rest: shutdownReserve})
		for _, c := range []struct {
			schedule *shutdown.Schedule
			least    time.Duration
			most     time.Duration
		}{
			{nil, 0, 2 * time.Second},
			{&schedule, 2 * time.Second, 4 * time.Second},
		} {
			r.shutdown.Store(c.schedule)
			r.reporter.startedAt = time.Now()
			recorder := httptest.NewRecorder()
			r.serve(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			So(recorder.Code, ShouldEqual, http.StatusServiceUnavailable)
			var refused refusal
			So(json.Unmarshal(recorder.Body.Bytes(), &refused), ShouldBeNil)
			So(refused.RetryAfterMs, ShouldBeBetween, c.least.Milliseconds(), c.most.Milliseconds())
		}
	})
}
