package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// TestMessagesAge guards against a run that is begun with the time that was left before its request was on the way.
func TestMessagesAge(t *testing.T) {
	Convey("Both times of a request shrink", t, func() {
		req := &runRequest{Remaining: 5 * time.Second, FinishIn: 2 * time.Second}
		peer.Aging(req).Age(time.Second)
		So(req.Remaining, ShouldEqual, 4*time.Second)
		So(req.FinishIn, ShouldEqual, time.Second)
		req.Age(3 * time.Second)
		So(req.FinishIn, ShouldEqual, minFinishIn)
	})
	Convey("A request without a bound gets none", t, func() {
		req := &runRequest{Remaining: 5 * time.Second}
		req.Age(time.Second)
		So(req.FinishIn, ShouldEqual, 0)
	})
	Convey("A bound shrinks, and never to none", t, func() {
		bound := &finishBound{FinishIn: 2 * time.Second}
		peer.Aging(bound).Age(time.Second)
		So(bound.FinishIn, ShouldEqual, time.Second)
		bound.Age(time.Minute)
		So(bound.FinishIn, ShouldEqual, minFinishIn)
	})
}
