package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestPlaceInTheQueue(t *testing.T) {
	// Guards against a short request that goes first waiting behind the calls of all that go after it.
	Convey("A call goes before requests like its caller's and not before those that go first", t, func() {
		of := func(standing float64, nested bool) call.Priority {
			m := &runRequest{Priority: priority(standing), Nested: nested, Remaining: time.Second}
			return new(executor).ticket(m, time.Now()).Priority
		}
		So(of(0, true), ShouldEqual, call.Nested)
		So(of(1, true), ShouldBeGreaterThan, of(1, false))
		So(of(1, true), ShouldBeLessThanOrEqualTo, of(0.5, false))
		So(of(0.5, true), ShouldBeLessThanOrEqualTo, of(0, false))
		So(of(0, false), ShouldBeGreaterThan, of(0.5, false))
	})
}
