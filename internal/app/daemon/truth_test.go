package daemon

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestCredible(t *testing.T) {
	// An upstream settles a payment through one service and is refused by the
	// next. It passes that refusal on as its own, and its caller, told that
	// nothing ran, pays again.
	cases := []struct {
		name    string
		answer  call.Answer
		left    int
		outcome call.Outcome
		back    int
	}{
		{"a refusal before any call of its own", call.Refuse(call.UpstreamShed, 0), 7, call.NotRun, 8},
		{"a refusal after a call of its own ran", call.Refuse(call.UpstreamShed, 0), 6, call.Unknown, 6},
		{"a whole answer", call.Answer{Outcome: call.Whole}, 6, call.Whole, 6},
		{"a lost answer", call.UnknownOutcome(call.AnswerLost), 7, call.Unknown, 7},
	}
	Convey("An upstream's not run counts only if nothing was spent", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				a := credible(&call.Request{Budget: 8}, c.answer, c.left)
				So(a.Outcome, ShouldEqual, c.outcome)
				So(a.BudgetLeft, ShouldEqual, c.back)
			})
		}
	})
}

func TestPassedHeaders(t *testing.T) {
	// A caller names an organisation, a budget or a token of its own, spelled so
	// that an upstream behind a CGI-like interface can't tell it from the daemon's.
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
	Convey("No header of the system's own, and no key, is passed on", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(len(passed(http.Header{c.name: {"x"}})) == 1, ShouldEqual, c.passes)
			})
		}
	})
}

func TestTimeForTheAnswer(t *testing.T) {
	cases := []struct{ left, want time.Duration }{
		{time.Second, 995 * time.Millisecond},
		{20 * time.Millisecond, 18 * time.Millisecond},
		{0, 0},
	}
	Convey("A handed-on request leaves time for its answer", t, func() {
		for _, c := range cases {
			h := newHandoff(&call.Request{Deadline: time.Unix(100, 0).Add(c.left)}, time.Unix(100, 0))
			So(h.Remaining, ShouldEqual, c.want)
		}
	})
}
