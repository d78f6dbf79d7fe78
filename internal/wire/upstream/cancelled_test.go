package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// TestCallerThatLeavesIsNoLostResponse guards against a caller's disconnection that counts as a response that its upstream lost.
func TestCallerThatLeavesIsNoLostResponse(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
	}{
		{"without a cause", nil},
		{"with the cause that the server for callers gives", errors.New("http: the caller disconnected")},
	} {
		Convey("After the request was sent, "+c.name, t, func() {
			address, _ := startRaw(t, "HTTP/1.1 103 Early Hints\r\n\r\n", okResponse)
			ctx, cancel := context.WithCancelCause(t.Context())
			r := request("GET")
			time.AfterFunc(50*time.Millisecond, func() { cancel(c.cause) })
			answer := New(address).Do(ctx, r, "")
			So(answer.Outcome.String(), ShouldEqual, call.Unknown.String())
			So(answer.Reason.String(), ShouldEqual, call.Cancelled.String())
		})
		Convey("Before it was sent, "+c.name, t, func() {
			address, _ := startRaw(t, okResponse)
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			answer := New(address).Do(ctx, request("GET"), "")
			So(answer.Outcome.String(), ShouldEqual, call.NotRun.String())
			So(answer.Reason.String(), ShouldEqual, call.Cancelled.String())
		})
	}
}
