package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"

	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

func TestTimeToLeave(t *testing.T) {
	// Guards against a daemon that is killed while it closes its ports: the steps after the last request took up to 1.25 s of
	// the half second that was kept for them.
	Convey("What is kept of the time to leave holds the longest close of the callers' port, and callers have their notice before", t, func() {
		const leaveTime = 6 * time.Second
		// Guards against steps that add up to just what is kept for them: the process was killed at its last one.
		So(lastTime-httpd.StopSlack-peersTime, ShouldBeGreaterThan, 200*time.Millisecond)
		So(leaveTime-lastTime, ShouldBeGreaterThan, noticeTime+quietTime)
	})
}

func TestSlotsOfADaemonThatLeaves(t *testing.T) {
	// Guards against a fleet that begins as much as before while an instance's daemon is restarted and nothing is sent to the instance.
	Convey("An instance whose daemon leaves has no slots", t, func() {
		o := newExecutor(Settings{}, nil)
		defer o.stop()
		o.observe(routing.Instance{ID: "i", Slots: 20}, true)
		staying, _ := o.tell(false, time.Now())
		So(staying.Slots, ShouldEqual, 19)
		leaving, _ := o.tell(true, time.Now())
		So(leaving.Slots, ShouldEqual, 0)
	})
}
