package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// TestRefusalsOfOtherDaemons guards against a refusal of another daemon, perhaps of an earlier version, that isn't passed on by its reason.
func TestRefusalsOfOtherDaemons(t *testing.T) {
	for _, c := range []struct {
		name                 string
		reply                runResult
		wantOutcome          call.Outcome
		wantStatus, wantLeft int
	}{
		{"cancelled before it ran, by an earlier version", runResult{Outcome: call.NotRun, Reason: call.Cancelled, Status: 499, BudgetLeft: 3}, call.NotRun, 503, 3},
		{"cancelled before it ran, by this version", runResult{Outcome: call.NotRun, Reason: call.Cancelled, Status: 503, BudgetLeft: 3}, call.NotRun, 503, 3},
		{"a status of another reason", runResult{Outcome: call.NotRun, Reason: call.Overloaded, Status: 404, BudgetLeft: 3}, call.NotRun, 503, 3},
		{"perhaps run, with the status of a refusal", runResult{Outcome: call.Unknown, Reason: call.AnswerLost, Status: 503}, call.Unknown, 502, 0},
		{"perhaps run, with the reason of a refusal", runResult{Outcome: call.Unknown, Reason: call.Overloaded, Status: 503}, call.Unknown, 502, 0},
		{"perhaps run, for a reason of a later version", runResult{Outcome: call.Unknown, Reason: 200, Status: 502}, call.Unknown, 502, 0},
		{"perhaps run, undecided", runResult{Outcome: call.Unknown, Reason: call.Undecided, Status: 503}, call.Unknown, 503, 0},
		{"perhaps run, repeated", runResult{Outcome: call.Unknown, Reason: call.Repeated, Status: 409}, call.Unknown, 409, 0},
		{"perhaps run, timed out", runResult{Outcome: call.Unknown, Reason: call.TimedOut, Status: 504}, call.Unknown, 504, 0},
		{"not run, repeated", runResult{Outcome: call.NotRun, Reason: call.Repeated, Status: 409, BudgetLeft: 3}, call.NotRun, 409, 3},
		{"not run, with a success's status", runResult{Outcome: call.NotRun, Reason: call.Overloaded, Status: 200, BudgetLeft: 3}, call.Unknown, 502, 0},
	} {
		Convey(c.name, t, func() {
			answer := c.reply.decision(t.Context())
			So(answer.Outcome.String(), ShouldEqual, c.wantOutcome.String())
			So(answer.Status, ShouldEqual, c.wantStatus)
			So(answer.BudgetLeft, ShouldEqual, c.wantLeft)
		})
	}
}
