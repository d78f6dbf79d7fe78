package router

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// coldHeads reads the remaining warm-up time in milliseconds from the header Cold.
type coldHeads struct{ Heads }

func (coldHeads) Health(_ int, h http.Header) (time.Duration, bool) {
	ms, err := strconv.Atoi(h.Get("Cold"))
	return time.Duration(ms) * time.Millisecond, err == nil
}

func (coldHeads) Answer(int, http.Header) InstanceHead { return InstanceHead{} }

func (coldHeads) Unread(http.Header) []string { return nil }

// newTestExecutor returns an executor that writes no log and isn't started.
func newTestExecutor(settings Settings) *executor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newExecutor(settings, coldHeads{}, newWarmUp(settings, coldHeads{}, log, telemetry.NewMetrics("h", "z")), bounded.NewAccount(settings.memoryLimits()))
}

// coldService is the service of an instance that tolerates 14 requests a second in the first three seconds.
var coldService = routing.Service{Health: "/health", ColdStart: 3 * time.Second, ColdRate: 14}

// serving returns the state of a host whose instance is published.
func serving(inst routing.Instance) localState {
	return localState{instance: inst, known: true, configured: true, service: coldService}
}

func cold(ms string) http.Header { return http.Header{"Cold": {ms}} }

func TestColdInstance(t *testing.T) {
	published := routing.Instance{ID: "i", Slots: 100}
	// Guards against a daemon that starts with its instance, doesn't know that it is cold and crashes it.
	Convey("An instance counts as cold from the daemon's start until a health check says otherwise", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		So(e.closed(time.Now()), ShouldEqual, call.NotReady)
		e.apply(serving(published))
		So(e.closed(time.Now()), ShouldEqual, call.None)
		So(e.warmUp.coldStarts(time.Now()), ShouldBeBetween, 0, 14.1)
		service, _ := e.report(false, time.Now())
		So(service.Slots, ShouldEqual, 1)
		So(service.Instances, ShouldEqual, 0)
		e.warmUp.Checked(time.Now(), 200, cold("0"))
		So(e.warmUp.coldStarts(time.Now()), ShouldEqual, 0)
		service, _ = e.report(false, time.Now())
		So(service.Slots, ShouldEqual, 95)
		So(service.Instances, ShouldEqual, 1)
	})
	Convey("Each sign of a restart makes it count as cold again", t, func() {
		restarted, successor := published, published
		restarted.ColdUntil = time.Now().Add(time.Minute)
		successor.Born = time.Now()
		for _, sign := range []struct {
			name  string
			apply func(e *executor)
		}{
			{"monitor's connection broke", func(e *executor) { e.warmUp.Disconnected(io.EOF, true) }},
			{"published as cold", func(e *executor) { e.apply(serving(restarted)) }},
			{"published with another start", func(e *executor) { e.apply(serving(successor)) }},
			{"zone restored", func(e *executor) {
				drained := serving(published)
				drained.zoneDrained = true
				e.apply(drained)
				e.apply(serving(published))
			}},
		} {
			Convey(sign.name, func() {
				e := newTestExecutor(Settings{})
				defer e.stop()
				e.apply(serving(published))
				e.warmUp.Checked(time.Now(), 200, cold("0"))
				sign.apply(e)
				So(e.warmUp.coldStarts(time.Now()), ShouldBeGreaterThan, 0)
			})
		}
	})
	// Guards against requests that wait for their turn at an instance that accepts no connection, while others have free slots.
	Convey("An instance that accepts no connections gets no requests until it has answered a health check", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		e.apply(serving(published))
		e.warmUp.Disconnected(io.EOF, false)
		So(e.closed(time.Now()), ShouldEqual, call.NoUpstream)
		service, _ := e.report(false, time.Now())
		So(service.Slots, ShouldEqual, 0)
		e.warmUp.Checked(time.Now(), 200, cold("2500"))
		So(e.closed(time.Now()), ShouldEqual, call.None)
		So(e.warmUp.coldStarts(time.Now()), ShouldBeGreaterThan, 0)
	})
	Convey("A service without a rate for cold instances is never paced", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		local := serving(published)
		local.service = routing.Service{Health: "/health"}
		e.apply(local)
		e.warmUp.Disconnected(io.EOF, true)
		So(e.warmUp.coldStarts(time.Now()), ShouldEqual, 0)
	})
	Convey("The rate is used up to what the bound allows, and not beyond the rate", t, func() {
		So(ColdLimits{}.rate(14), ShouldEqual, 14)
		So(ColdLimits{Overage: 1.5, Slack: 8}.rate(14), ShouldEqual, 14)
		So(ColdLimits{Overage: 0.5, Slack: 1}.rate(14), ShouldEqual, 8)
	})
}
