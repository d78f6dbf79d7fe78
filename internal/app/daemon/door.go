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

// Names of headers in callers' requests.
const (
	headerAuthorization  = "Authorization"
	headerTimeout        = upstream.HeaderTimeout
	headerIdempotencyKey = "Idempotency-Key"
	bearer               = "Bearer "
)

// admittedRequest is a request that passed admission, with the account that pays for its runs.
type admittedRequest struct {
	request call.Request
	account *budget.Account
	// parent is the run on whose behalf the local upstream sent the request; nil for a caller's request.
	parent *parentRun
	// keyCheck is the check of the caller's key before each attempt and after a wait.
	keyCheck keyCheck
	// finishBy is when the daemon that forwarded the request must have the response, since it is leaving; zero if it isn't.
	finishBy time.Time
	// token is the rate-limit token that a caller's request has spent.
	token rate.Token
}

// admit checks the key, the plan, the rate limit and overload, in this order, so that nothing is spent on a request
// that an earlier check refuses. The rate limit is checked before overload, since an organisation above its rate
// limit would otherwise use up what the throttle admits. The token is returned if the throttle or, later, a queue
// refuses the request.
func (d *Daemon) admit(r *http.Request, body []byte, now time.Time) (admittedRequest, call.Answer, bool) {
	if token := r.Header.Get(upstream.HeaderToken); token != "" {
		return d.admitSubCall(r, token, body)
	}
	return d.admitCaller(r, body, now)
}

func (d *Daemon) admitCaller(r *http.Request, body []byte, now time.Time) (admittedRequest, call.Answer, bool) {
	if !d.waitToAccept(r, now) {
		return refuse(call.NotReady, time.Second)
	}
	// The view is loaded after the check that the lists are current. In the other order, a goroutine that was
	// suspended between the two could combine lists from before a pause of the process with a check made after
	// it, and admit a withdrawn key.
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
	a.request.ID = newRequestID()
	a.keyCheck = d.newKeyCheck(view, key, organisation)
	a.account = budget.New(a.request.Budget)
	token, wait, ok := d.rateLimiter.Spend(r.Context(), organisation)
	if !ok {
		return refuse(call.OverRate, d.rateLimiter.borrower.ComeBack(organisation, wait, time.Now()))
	}
	a.token = token
	if retryAfter, ok := d.throttles.Admit(now, organisation, a.request.Operation); !ok {
		d.rateLimiter.returnToken(&a)
		return refuse(call.Overloaded, retryAfter)
	}
	return a, call.Answer{}, true
}

// admitSubCall admits a sub-call that the local upstream makes on behalf of a request it is running. Organisation,
// deadline, priority and budget come from this daemon's record of that request, never from the upstream's headers.
// The token was spent when the caller's request was admitted.
func (d *Daemon) admitSubCall(r *http.Request, token string, body []byte) (admittedRequest, call.Answer, bool) {
	parent, ok := d.executor.runs.find(token)
	if !ok {
		return refuse(call.UnknownKey, 0)
	}
	a, refusal, ok := d.prepare(d.view.Load(), parent.request.Organisation, r, body)
	if !ok {
		return a, refusal, false
	}
	a.request.ID = parent.request.ID
	a.request.Deadline = parent.request.Deadline
	a.request.Depth = parent.request.Depth + 1
	a.request.Priority = parent.request.Priority
	a.account = parent.account
	a.parent = parent
	return a, call.Answer{}, true
}

func (d *Daemon) prepare(view *lists.View, organisation string, r *http.Request, body []byte) (admittedRequest, call.Answer, bool) {
	dest, ok := locate(r.URL)
	if !ok {
		return refuse(call.BadRequest, 0)
	}
	operation, ok := view.Operation(dest.service, r.Method, dest.path)
	if !ok {
		return refuse(call.UnknownOperation, 0)
	}
	if !view.Allows(organisation, operation.Operation) {
		return refuse(call.NotAllowed, 0)
	}
	entry, _ := view.Organisation(organisation)
	runs := operation.Runs
	if runs == 0 {
		runs = d.settings.DefaultRuns
	}
	return admittedRequest{request: call.Request{
		Organisation:   organisation,
		Operation:      operation.Operation,
		Service:        dest.service,
		Method:         r.Method,
		Path:           dest.requestURI,
		Header:         forwardedHeaders(r.Header),
		Body:           body,
		Priority:       operation.PriorityClass(),
		Weight:         entry.Weight,
		Idempotent:     operation.Idempotent,
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

func refuse(reason call.Reason, wait time.Duration) (admittedRequest, call.Answer, bool) {
	return admittedRequest{}, call.Refuse(reason, wait), false
}

// strippedHeaders are the headers that belong to the daemon or to one connection; they aren't forwarded to upstreams.
var strippedHeaders = []string{
	headerAuthorization, headerTimeout, upstream.HeaderToken, upstream.HeaderOrganisation,
	upstream.HeaderOperation, upstream.HeaderRequestID, upstream.HeaderOutcome,
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect",
}

func forwardedHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, name := range strippedHeaders {
		forwarded.Del(name)
	}
	for name := range forwarded {
		if isReserved(name) {
			delete(forwarded, name)
		}
	}
	return forwarded
}
