package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// runRequest forwards a request to the daemon on the chosen host. It carries the remaining time rather than the
// deadline, since the hosts' clocks differ.
type runRequest struct {
	ID             string        `msgpack:"id"`
	Organisation   string        `msgpack:"organisation"`
	Operation      string        `msgpack:"operation"`
	Service        string        `msgpack:"service"`
	Method         string        `msgpack:"method"`
	Path           string        `msgpack:"path"`
	Header         http.Header   `msgpack:"header"`
	Body           []byte        `msgpack:"body"`
	Remaining      time.Duration `msgpack:"remaining"`
	Priority       call.Priority `msgpack:"priority"`
	Weight         int           `msgpack:"weight"`
	Idempotent     bool          `msgpack:"idempotent"`
	IdempotencyKey string        `msgpack:"idempotencyKey"`
	Budget         int           `msgpack:"budget"`
	Depth          int           `msgpack:"depth"`
	// FinishWithin is the time in which the response must arrive, since the sender is leaving; 0 if it isn't.
	FinishWithin time.Duration `msgpack:"finishWithin"`
	// hold is the memory that is held for the body of a request that was handed over.
	hold *bounded.Hold
}

// Bulk returns the body and the memory that is held for it.
func (req *runRequest) Bulk() (*[]byte, **bounded.Hold) { return &req.Body, &req.hold }

// runResult is the reply to a runRequest.
type runResult struct {
	Outcome    call.Outcome  `msgpack:"outcome"`
	Reason     call.Reason   `msgpack:"reason"`
	Status     int           `msgpack:"status"`
	Header     http.Header   `msgpack:"header"`
	Body       []byte        `msgpack:"body"`
	RetryAfter time.Duration `msgpack:"retryAfter"`
	BudgetLeft int           `msgpack:"budgetLeft"`
	Load       call.Load     `msgpack:"load"`
	// hold is the memory that is held for the body.
	hold *bounded.Hold
}

// Bulk returns the body and the memory that is held for it.
func (res *runResult) Bulk() (*[]byte, **bounded.Hold) { return &res.Body, &res.hold }

var (
	_ peer.Bulky = (*runRequest)(nil)
	_ peer.Bulky = (*runResult)(nil)
)

func newRunRequest(r *call.Request, finishBy, now time.Time) runRequest {
	req := runRequest{
		ID: r.ID, Organisation: r.Organisation, Operation: r.Operation, Service: r.Service,
		Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body, Remaining: withoutReturnTime(r.Remaining(now)),
		Priority: r.Priority, Weight: r.Weight, Idempotent: r.Idempotent, IdempotencyKey: r.IdempotencyKey,
		Budget: r.Budget, Depth: r.Depth,
	}
	if !finishBy.IsZero() {
		req.FinishWithin = max(withoutReturnTime(finishBy.Sub(now)), 1)
	}
	return req
}

// Age subtracts the time that has passed on the way from the times that are left.
func (req *runRequest) Age(elapsed time.Duration) {
	req.Remaining -= elapsed
	if req.FinishWithin > 0 {
		req.FinishWithin = max(req.FinishWithin-elapsed, 1)
	}
}

// finishBy returns when the sender must have the response, or zero.
func (req *runRequest) finishBy(now time.Time) time.Time {
	if req.FinishWithin == 0 {
		return time.Time{}
	}
	return now.Add(req.FinishWithin)
}

const (
	// reserveDivisor makes a reserve at most a tenth of the remaining time.
	reserveDivisor = 10
	// maxReturnTime bounds the time set aside for a reply's way back.
	maxReturnTime = 5 * time.Millisecond
)

// withoutReturnTime subtracts from the remaining time what the reply needs for its way back. Without it, a request that
// reaches its deadline in the other host's queue would be refused there a moment too late, and this daemon would report
// its outcome as unknown although nothing ran.
func withoutReturnTime(remaining time.Duration) time.Duration {
	return remaining - reserve(remaining, maxReturnTime)
}

// reserve returns how much of the remaining time is set aside for a reply: 1/reserveDivisor of it, but at most the maximum.
func reserve(remaining, maximum time.Duration) time.Duration {
	return min(remaining/reserveDivisor, maximum)
}

func (req *runRequest) request(now time.Time) *call.Request {
	return &call.Request{
		ID: req.ID, Organisation: req.Organisation, Operation: req.Operation, Service: req.Service,
		Method: req.Method, Path: req.Path, Header: req.Header, Body: req.Body, Deadline: now.Add(req.Remaining),
		Priority: req.Priority, Weight: req.Weight, Idempotent: req.Idempotent, IdempotencyKey: req.IdempotencyKey,
		Budget: req.Budget, Depth: req.Depth,
	}
}

func newRunResult(a call.Answer) runResult {
	hold, _ := a.Held.(*bounded.Hold)
	return runResult{
		Outcome: a.Outcome, Reason: a.Reason, Status: a.Status, Header: a.Header, Body: a.Body,
		RetryAfter: a.RetryAfter, BudgetLeft: a.BudgetLeft, Load: a.Load, hold: hold,
	}
}

// answer returns the response as stated, but with this daemon's own status for a refusal or failure: its reason decides, since other versions
// have other statuses.
func (res *runResult) answer() call.Answer {
	answer := call.Answer{
		Outcome: res.Outcome, Reason: res.Reason, Status: res.Status, Header: res.Header, Body: res.Body,
		RetryAfter: res.RetryAfter, BudgetLeft: res.BudgetLeft, Load: res.Load,
	}
	if res.hold != nil {
		answer.Held = res.hold
	}
	if res.Outcome != call.Whole && res.Status >= http.StatusBadRequest {
		answer.Status = reasonStatus(res.Outcome, res.Reason)
	}
	return answer
}

// reasonStatus returns the status of a refusal or failure. A request that may have run gets that of a refusal only where that is meant, not for
// a reason that stands for refusals or that this version doesn't know.
func reasonStatus(outcome call.Outcome, reason call.Reason) int {
	if outcome == call.NotRun {
		return call.Refuse(reason, 0).Status
	}
	switch reason {
	case call.Undecided, call.Repeated, call.TimedOut:
		return reason.Status()
	default:
		return http.StatusBadGateway
	}
}

// decision returns the response that another daemon's reply stands for.
//
// A reply that decides nothing counts as lost. One that gives the request up though its caller here still waits is no
// decision of that caller: the other daemon's link may have ended. Such a request that did not run may go to another host.
func (res *runResult) decision(ctx context.Context) call.Answer {
	answer := res.answer()
	switch {
	case !isDecided(answer):
		return call.UnknownOutcome(call.AnswerLost)
	case answer.Reason != call.Cancelled || errors.Is(ctx.Err(), context.Canceled):
		return answer
	case answer.Outcome == call.NotRun:
		answer.Reason, answer.RetryAfter = call.NoUpstream, time.Second
	default:
		answer.Reason = call.AnswerLost
	}
	answer.Status = reasonStatus(answer.Outcome, answer.Reason)
	return answer
}

// holdRequest holds memory for the body of a request that was handed over, unless that was done when its size was announced.
func (d *Daemon) holdRequest(req *runRequest) (release func(), ok bool) {
	if req.hold != nil {
		return func() {}, true
	}
	hold, ok := d.account.TryTake(bounded.PeerRequest, int64(len(req.Body)))
	return hold.Release, ok
}

func (d *Daemon) handleRunRequest(ctx context.Context, from netip.AddrPort, req runRequest) runResult {
	defer d.inFlight.begin().end()
	now := time.Now()
	r := req.request(now)
	if d.leaving.Load() || r.Service != d.settings.Service {
		refusal := call.Refuse(call.Draining, time.Second)
		refusal.BudgetLeft = r.Budget
		return newRunResult(refusal)
	}
	release, ok := d.holdRequest(&req)
	if !ok {
		return newRunResult(bodyMemoryRefusal(r))
	}
	defer release()
	r.Receiver = from.Addr()
	return newRunResult(d.executor.run(ctx, r, req.finishBy(now), nil))
}

// bodyMemoryRefusal refuses a request whose body exceeds the memory left for bodies. Bodies from other daemons are held
// while their requests wait for slots, and without a bound they would exhaust the host's memory.
func bodyMemoryRefusal(r *call.Request) call.Answer {
	refusal := call.Refuse(call.Overloaded, time.Second)
	refusal.BudgetLeft = r.Budget
	return refusal
}
