package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestWhoseFailureItIs(t *testing.T) {
	// Guards against driving work away from instances that are well because a service below them fails.
	Convey("A failure speaks against the instance unless a call of its run failed", t, func() {
		So(ending(runResult{Outcome: call.Whole, Status: 500}, nil), ShouldEqual, choice.Failed)
		So(ending(runResult{Outcome: call.Whole, Status: 500, CallFailed: true}, nil), ShouldEqual, choice.Withdrawn)
		So(ending(runResult{Outcome: call.Whole, Status: 200}, nil), ShouldEqual, choice.Served)
	})
}
