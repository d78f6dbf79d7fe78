package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestSubcallFailuresAreNotHeldAgainstTheInstance(t *testing.T) {
	// Guards against driving requests away from healthy instances because a service that they call fails.
	Convey("A failure counts against the instance unless a sub-call of the run failed", t, func() {
		So(sendResult(runResult{Outcome: call.Whole, Status: 500}, nil), ShouldEqual, choice.Failed)
		So(sendResult(runResult{Outcome: call.Whole, Status: 500, SubcallFailed: true}, nil), ShouldEqual, choice.Withdrawn)
		So(sendResult(runResult{Outcome: call.Whole, Status: 200}, nil), ShouldEqual, choice.Served)
	})
}
