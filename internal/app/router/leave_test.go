package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
