package daemon

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestNotRunIsChecked(t *testing.T) {
	// An upstream settles a payment through one service and is refused by the next. It passes that refusal on as its own, and
	// the caller, told that nothing ran, pays again.
	cases := []struct {
		name    string
		answer  call.Answer
		left    int
		outcome call.Outcome
		back    int
	}{
		{"a refusal before any sub-call", call.Refuse(call.UpstreamShed, 0), 7, call.NotRun, 8},
		{"a refusal after a sub-call ran", call.Refuse(call.UpstreamShed, 0), 6, call.Unknown, 6},
		{"a complete response", call.Answer{Outcome: call.Whole}, 6, call.Whole, 6},
		{"a lost response", call.UnknownOutcome(call.AnswerLost), 7, call.Unknown, 7},
	}
	Convey("An upstream's claim of not run is accepted only if its sub-calls spent nothing", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				a := checkNotRun(&call.Request{Budget: 8}, c.answer, c.left)
				So(a.Outcome, ShouldEqual, c.outcome)
				So(a.BudgetLeft, ShouldEqual, c.back)
			})
		}
	})
}

func TestForwardedHeaders(t *testing.T) {
	// A caller sets an organisation, a budget or a token of its own, spelled so that an upstream behind a CGI-like interface
	// can't distinguish it from the daemon's header.
	cases := []struct {
		name   string
		passes bool
	}{
		{"Foxtailhook-Organisation", false},
		{"Foxtailhook_organisation", false},
		{"FOXTAILHOOK_TOKEN", false},
		{"Foxtailhook-Anything", false},
		{"Authorization", false},
		{"Connection", false},
		{"Idempotency-Key", true},
		{"X-Foxtailhook", true},
		{"Accept", true},
	}
	Convey("Reserved headers, keys and connection headers are not forwarded", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(len(forwardedHeaders(http.Header{c.name: {"x"}})) == 1, ShouldEqual, c.passes)
			})
		}
	})
}

func TestReturnTimeIsReserved(t *testing.T) {
	cases := []struct{ left, want time.Duration }{
		{time.Second, 995 * time.Millisecond},
		{20 * time.Millisecond, 18 * time.Millisecond},
		{0, 0},
	}
	Convey("A forwarded request leaves time for the reply", t, func() {
		for _, c := range cases {
			h := newRunRequest(&call.Request{Deadline: time.Unix(100, 0).Add(c.left)}, time.Time{}, time.Unix(100, 0))
			So(h.Remaining, ShouldEqual, c.want)
		}
	})
}
