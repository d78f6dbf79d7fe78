package daemon

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// subCallDaemon has one operation with background priority and no sockets.
func subCallDaemon() *Daemon {
	d := &Daemon{executor: &executor{runs: newActiveRuns()}}
	plans := &lists.Plans{Organisations: []lists.Organisation{{Organisation: "dealer", Plan: "full", Rate: 1, Burst: 1}}}
	uses := &lists.Uses{
		Operations: []lists.Operation{{Operation: "repairs.notes", Service: "repairs", Method: "POST", Path: "/notes", Priority: "background"}},
		Plans:      []lists.Grant{{Plan: "full", Operations: []string{"repairs.notes"}}},
	}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, plans, uses, nil, nil))
	return d
}

// A running request calls a service whose operation is listed with background priority. If the sub-call took that
// priority, or a deadline of its own, it would be shed or outlive its request, and the work done so far would be wasted.
func TestSubCallsInheritFromTheRequest(t *testing.T) {
	Convey("Priority, deadline, organisation, request ID and budget of a sub-call come from the running request", t, func() {
		d, now := subCallDaemon(), time.Now()
		running := &call.Request{ID: "r1", Organisation: "dealer", Priority: call.Interactive, Deadline: now.Add(time.Second), Depth: 3}
		account := budget.New(5)
		token, _ := d.executor.runs.add(running, account)
		r, _ := http.NewRequest(http.MethodPost, "http://daemon/repairs/notes", nil)
		r.Header.Set(upstream.HeaderToken, token)
		r.Header.Set(upstream.HeaderTimeout, "60000")
		a, _, ok := d.admit(r, nil, now)
		So(ok, ShouldBeTrue)
		So(a.request.Priority, ShouldEqual, call.Interactive)
		So(a.request.Deadline, ShouldEqual, running.Deadline)
		So(a.request.Organisation, ShouldEqual, "dealer")
		So(a.request.ID, ShouldEqual, "r1")
		So(a.request.Depth, ShouldEqual, 4)
		So(a.account, ShouldPointTo, account)
	})
	Convey("A run token is invalid after its request has ended", t, func() {
		d := subCallDaemon()
		token, _ := d.executor.runs.add(&call.Request{Organisation: "dealer"}, budget.New(1))
		d.executor.runs.remove(token)
		r, _ := http.NewRequest(http.MethodPost, "http://daemon/repairs/notes", nil)
		r.Header.Set(upstream.HeaderToken, token)
		_, refusal, ok := d.admit(r, nil, time.Now())
		So(ok, ShouldBeFalse)
		So(refusal.Reason, ShouldEqual, call.UnknownKey)
	})
}

// The deepest service becomes slow, and so does each service above it. If they counted the wait for sub-calls as their
// own latency, all of them would lower their concurrency limits.
func TestSubCallTimeIsExcluded(t *testing.T) {
	Convey("Parallel sub-calls count once, and one still in flight counts up to now", t, func() {
		var waited, later time.Duration
		var pressure float64
		synctest.Test(t, func(*testing.T) {
			p := &parentRun{}
			time.Sleep(time.Second)
			p.callStarted(time.Now())
			time.Sleep(time.Second)
			p.callStarted(time.Now())
			time.Sleep(time.Second)
			p.callEnded(time.Now(), 1)
			p.callEnded(time.Now(), 0)
			time.Sleep(time.Second)
			waited, pressure = p.waited(time.Now())
			p.callStarted(time.Now())
			time.Sleep(time.Second)
			later, _ = p.waited(time.Now())
		})
		So(waited, ShouldEqual, 2*time.Second)
		So(pressure, ShouldEqual, 1)
		So(later, ShouldEqual, 3*time.Second)
	})
}
