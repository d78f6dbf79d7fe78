package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestLengthOfAResponse(t *testing.T) {
	// Guards against a response to HEAD, or one with 204 or 304, that states the length 0 of a body that isn't there.
	cases := []struct {
		name, body string
		want       string
	}{
		{"with a body", "body", "4"},
		{"without one", "", ""},
	}
	for _, c := range cases {
		Convey("A response "+c.name+" states its length only if there is a body", t, func() {
			w := httptest.NewRecorder()
			res := response{status: http.StatusOK, header: http.Header{"Signature": {"signed"}}, body: []byte(c.body)}
			res.write(w, time.Time{})
			So(w.Header().Get("Content-Length"), ShouldEqual, c.want)
			So(w.Header().Get("Signature"), ShouldEqual, "signed")
			So(w.Body.String(), ShouldEqual, c.body)
		})
	}
}

func TestFailureStatus(t *testing.T) {
	// Guards against a status that promises "not run" for a request that may have run, and against a failure that isn't one.
	cases := []struct {
		name   string
		answer call.Answer
		want   int
	}{
		{"overloaded", call.Refuse(call.Overloaded, 0), http.StatusServiceUnavailable},
		{"over the rate", call.Refuse(call.OverRate, 0), http.StatusTooManyRequests},
		{"no time to run", call.Refuse(call.DeadlineTooNear, 0), http.StatusServiceUnavailable},
		{"cancelled before it ran", call.Refuse(call.Cancelled, 0), http.StatusServiceUnavailable},
		{"cancelled while it ran", call.UnknownOutcome(call.Cancelled), http.StatusBadGateway},
		{"lost", call.UnknownOutcome(call.AnswerLost), http.StatusBadGateway},
		{"timed out", call.UnknownOutcome(call.TimedOut), http.StatusGatewayTimeout},
		{"unknown, with a refusal's reason", call.UnknownOutcome(call.Overloaded), http.StatusBadGateway},
		{"unknown, with a reason of a later version", call.UnknownOutcome(call.Reason(200)), http.StatusBadGateway},
		{"nothing decided", call.Answer{}, http.StatusBadGateway},
		{"a success of our own", call.Answer{Outcome: call.Unknown, Status: http.StatusOK}, http.StatusBadGateway},
	}
	for _, c := range cases {
		Convey("A response of our own has an honest status: "+c.name, t, func() {
			So(failureStatus(c.answer), ShouldEqual, c.want)
		})
	}
}
