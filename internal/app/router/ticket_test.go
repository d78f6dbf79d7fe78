package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestSubcallPriority(t *testing.T) {
	// Guards against a short high-priority request that waits behind the sub-calls of all lower-priority ones.
	Convey("A sub-call takes precedence over requests of its caller's priority, but not over those of a higher one", t, func() {
		priorityOf := func(relativeRank float64, subcall bool) call.Priority {
			req := &runRequest{Priority: priority(relativeRank), Subcall: subcall, Remaining: time.Second}
			return new(executor).ticket(req, time.Now()).Priority
		}
		So(priorityOf(0, true), ShouldEqual, call.Nested)
		So(priorityOf(1, true), ShouldBeGreaterThan, priorityOf(1, false))
		So(priorityOf(1, true), ShouldBeLessThanOrEqualTo, priorityOf(0.5, false))
		So(priorityOf(0.5, true), ShouldBeLessThanOrEqualTo, priorityOf(0, false))
		So(priorityOf(0, false), ShouldBeGreaterThan, priorityOf(0.5, false))
	})
}
