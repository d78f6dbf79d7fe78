package daemon

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Names of the headers that callers send.
const (
	headerAuthorization  = "Authorization"
	headerTimeout        = upstream.HeaderTimeout
	headerIdempotencyKey = "Idempotency-Key"
	bearer               = "Bearer "
)

// admitted is a request that passed the door, with the account its runs are drawn from.
type admitted struct {
	request call.Request
	account *budget.Account
	// origin is the request that an upstream's call belongs to; nil for a caller's.
	origin *origin
	// still reports, after a wait, whether the caller's key is still in force; nil means that it need not be asked.
	still func() bool
	// token is what a caller's request has spent of its organisation's rate.
	token rate.Token
}

// admit decides in the order key, plan, rate, overload, so that nothing is
// spent on a request that an earlier check refuses. The rate goes before overload, since an
// organisation over its rate would else use up what the door lets in; a token goes back
// when the door, or later a queue, refuses.
func (d *Daemon) admit(r *http.Request, body []byte, now time.Time) (admitted, call.Answer, bool) {
	if token := r.Header.Get(upstream.HeaderToken); token != "" {
		return d.admitChained(r, token, body)
	}
	return d.admitCaller(r, body, now)
}

func (d *Daemon) admitCaller(r *http.Request, body []byte, now time.Time) (admitted, call.Answer, bool) {
	if !d.awaitTakes(r, now) {
		return refuse(call.NotReady, time.Second)
	}
	// Loaded after the question whether the lists are current: a thread that was
	// held up between the two would otherwise hold the lists from before a pause
	// against the answer from after it, and let a withdrawn key in.
	view := d.view.Load()
	key, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer)
	if !ok {
		return refuse(call.UnknownKey, 0)
	}
	organisation, ok := view.Authenticate(key)
	if !ok {
		return refuse(call.UnknownKey, 0)
	}
	a, refusal, ok := d.prepare(view, organisation, r, body)
	if !ok {
		return a, refusal, false
	}
	timeout, ok := d.timeout(r)
	if !ok {
		return refuse(call.BadRequest, 0)
	}
	a.request.Deadline = now.Add(timeout)
	a.request.ID = newID()
	a.still = d.keyStill(view, key, organisation)
	a.account = budget.New(a.request.Budget)
	token, wait, ok := d.rates.Spend(r.Context(), organisation)
	if !ok {
		return refuse(call.OverRate, d.rates.borrower.ComeBack(organisation, wait, time.Now()))
	}
	a.token = token
	if back, ok := d.doors.Admit(now, organisation, a.request.Operation); !ok {
		d.rates.giveBack(&a)
		return refuse(call.Overloaded, back)
	}
	return a, call.Answer{}, true
}

// admitChained admits a call that the local upstream makes on behalf of a
// request it is running. Organisation, deadline, priority and budget come from
// what this daemon remembers, never from what the upstream says; the rate was
// spent when the request came in.
func (d *Daemon) admitChained(r *http.Request, token string, body []byte) (admitted, call.Answer, bool) {
	origin, ok := d.owner.chains.find(token)
	if !ok {
		return refuse(call.UnknownKey, 0)
	}
	a, refusal, ok := d.prepare(d.view.Load(), origin.request.Organisation, r, body)
	if !ok {
		return a, refusal, false
	}
	a.request.ID = origin.request.ID
	a.request.Deadline = origin.request.Deadline
	a.request.Depth = origin.request.Depth + 1
	a.request.Priority = origin.request.Priority
	a.account = origin.account
	a.origin = origin
	return a, call.Answer{}, true
}

func (d *Daemon) prepare(view *lists.View, organisation string, r *http.Request, body []byte) (admitted, call.Answer, bool) {
	to, ok := locate(r.URL)
	if !ok {
		return refuse(call.BadRequest, 0)
	}
	op, ok := view.Operation(to.service, r.Method, to.path)
	if !ok {
		return refuse(call.UnknownOperation, 0)
	}
	if !view.Allows(organisation, op.Operation) {
		return refuse(call.NotAllowed, 0)
	}
	o, _ := view.Organisation(organisation)
	runs := op.Runs
	if runs == 0 {
		runs = d.settings.DefaultRuns
	}
	return admitted{request: call.Request{
		Organisation:   organisation,
		Operation:      op.Operation,
		Service:        to.service,
		Method:         r.Method,
		Path:           to.sent,
		Header:         passed(r.Header),
		Body:           body,
		Priority:       op.PriorityClass(),
		Weight:         o.Weight,
		Idempotent:     op.Idempotent,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Budget:         runs,
	}}, call.Answer{}, true
}

func (d *Daemon) timeout(r *http.Request) (time.Duration, bool) {
	raw := r.Header.Get(headerTimeout)
	if raw == "" {
		return d.settings.DefaultTimeout, true
	}
	ms, err := strconv.Atoi(raw)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, d.settings.MaxTimeout), true
}

func refuse(reason call.Reason, wait time.Duration) (admitted, call.Answer, bool) {
	return admitted{}, call.Refuse(reason, wait), false
}

// kept are the headers that are the daemon's own or belong to one connection; no upstream sees them.
var kept = []string{
	headerAuthorization, headerTimeout, upstream.HeaderToken, upstream.HeaderOrganisation,
	upstream.HeaderOperation, upstream.HeaderRequestID, upstream.HeaderOutcome,
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect",
}

func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range kept {
		out.Del(name)
	}
	for name := range out {
		if forged(name) {
			delete(out, name)
		}
	}
	return out
}
