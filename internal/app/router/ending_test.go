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
	// Guards against a restarted daemon whose instance is avoided, since its shutdown had ended runs before.
	Convey("A run that the shutdown of the daemon beside the instance ended isn't held against the instance either", t, func() {
		So(sendResult(runResult{Outcome: call.Whole, Status: 504}, nil), ShouldEqual, choice.Failed)
		So(sendResult(runResult{Outcome: call.Whole, Status: 504, EndedEarly: true}, nil), ShouldEqual, choice.Withdrawn)
	})
}
