package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// handoff is a request on its way to the daemon beside the chosen upstream. It
// carries the time left rather than the deadline, since clocks differ.
type handoff struct {
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
}

// handback is the answer to a handoff.
type handback struct {
	Outcome    call.Outcome  `msgpack:"outcome"`
	Reason     call.Reason   `msgpack:"reason"`
	Status     int           `msgpack:"status"`
	Header     http.Header   `msgpack:"header"`
	Body       []byte        `msgpack:"body"`
	RetryAfter time.Duration `msgpack:"retryAfter"`
	BudgetLeft int           `msgpack:"budgetLeft"`
	Load       call.Load     `msgpack:"load"`
}

func newHandoff(r *call.Request, now time.Time) handoff {
	return handoff{
		ID: r.ID, Organisation: r.Organisation, Operation: r.Operation, Service: r.Service,
		Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body, Remaining: forAnswer(r.Remaining(now)),
		Priority: r.Priority, Weight: r.Weight, Idempotent: r.Idempotent, IdempotencyKey: r.IdempotencyKey,
		Budget: r.Budget, Depth: r.Depth,
	}
}

const (
	answerShare = 10
	answerTime  = 5 * time.Millisecond
)

// forAnswer takes the time that an answer needs on its way back from the time
// left. A booking whose time runs out in the other host's queue is refused there
// in time; told a moment too late, it would be called unknown though nothing ran.
func forAnswer(left time.Duration) time.Duration { return left - setAside(left, answerTime) }

// setAside returns the part of the time left that is kept for an answer, at most so much.
func setAside(left, most time.Duration) time.Duration { return min(left/answerShare, most) }

func (h *handoff) request(now time.Time) *call.Request {
	return &call.Request{
		ID: h.ID, Organisation: h.Organisation, Operation: h.Operation, Service: h.Service,
		Method: h.Method, Path: h.Path, Header: h.Header, Body: h.Body, Deadline: now.Add(h.Remaining),
		Priority: h.Priority, Weight: h.Weight, Idempotent: h.Idempotent, IdempotencyKey: h.IdempotencyKey,
		Budget: h.Budget, Depth: h.Depth,
	}
}

func newHandback(a call.Answer) handback {
	return handback{
		Outcome: a.Outcome, Reason: a.Reason, Status: a.Status, Header: a.Header, Body: a.Body,
		RetryAfter: a.RetryAfter, BudgetLeft: a.BudgetLeft, Load: a.Load,
	}
}

func (h *handback) answer() call.Answer {
	return call.Answer{
		Outcome: h.Outcome, Reason: h.Reason, Status: h.Status, Header: h.Header, Body: h.Body,
		RetryAfter: h.RetryAfter, BudgetLeft: h.BudgetLeft, Load: h.Load,
	}
}

func (d *Daemon) takeHandoff(ctx context.Context, _ netip.AddrPort, h handoff) handback {
	defer d.inFlight.begin().end()
	r := h.request(time.Now())
	if d.leaving.Load() || r.Service != d.settings.Service {
		refusal := call.Refuse(call.Draining, time.Second)
		refusal.BudgetLeft = r.Budget
		return newHandback(refusal)
	}
	release, ok := d.callers.Hold(len(r.Body))
	if !ok {
		return newHandback(full(r))
	}
	defer release()
	return newHandback(d.owner.run(ctx, r, nil))
}

// full refuses a request whose body has no room beside those held. Bodies that
// other daemons hand on wait for slots here, and would add up without bound.
func full(r *call.Request) call.Answer {
	refusal := call.Refuse(call.Overloaded, time.Second)
	refusal.BudgetLeft = r.Budget
	return refusal
}
