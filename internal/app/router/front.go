package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

// request is one caller's request on its way through this daemon.
type request struct {
	id           string
	begun        time.Time
	route        *routing.Route
	service      string
	organisation string
	method       string
	target       string
	httpHost     string
	header       http.Header
	body         []byte
	// deadline is when the caller, or the operator for it, stops waiting.
	deadline time.Time
	// priority is that of the caller's request which a nested one is for.
	priority call.Priority
	nested   bool
	// root is the route of the caller's request that a nested one is for, its own for others.
	root string
	// parent is the run of the instance on this host that a nested request belongs to, as far as known.
	parent *lineage.Run
	repeat bool
	rank   shed.Rank
	shed   shed.Decision
	quota  quota.Decision
	trail  attempts
	// fullness and callRefused are what the offers brought back: see runResult.
	fullness    float64
	callRefused bool
}

// serve answers one request of a caller or of the instance on this host.
func (r *Router) serve(w http.ResponseWriter, in *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	q := &request{begun: httpd.Arrived(in.Context()), method: in.Method, target: in.RequestURI, httpHost: in.Host}
	answer, ok := r.admit(q, in)
	if ok {
		ctx, cancel := context.WithDeadline(in.Context(), q.deadline)
		answer = r.place(ctx, q)
		r.report(q, answer)
		cancel()
		if answer.Outcome == call.NotRun && q.organisation != "" {
			r.quota.Refund(q.organisation, q.quota)
		}
	}
	r.conclude(q, answer)
	r.write(w, q, answer)
}

// defaultTimeout holds for a request of which neither the caller nor the operator says how long it may take.
const defaultTimeout = 30 * time.Second

// admit finds the request's route, organisation and time, and lets it in if there is room for it; false comes with the refusal.
func (r *Router) admit(q *request, in *http.Request) (call.Answer, bool) {
	head, err := r.heads.Caller(in.Header)
	q.id = head.RequestID
	if q.id == "" {
		q.id = uuid.NewString()
	}
	if err != nil {
		return call.Refuse(call.BadRequest, 0), false
	}
	if refusal, ok := r.recognise(q, in, head); !ok {
		return refusal, false
	}
	if q.body, err = readBody(in); err != nil {
		return call.Refuse(call.BadRequest, 0), false
	}
	q.header = forwardable(in.Header)
	if r.endsBefore(q) {
		return call.Refuse(call.Draining, notReadyWait), false
	}
	if q.nested {
		q.adopt(r.owner.runs.Parent(q.route.Name, q.begun.Add(head.Timeout)))
	}
	return r.letIn(q)
}

// recognise finds the request's route and whose it is.
func (r *Router) recognise(q *request, in *http.Request, head CallerHead) (call.Answer, bool) {
	table := r.view.Load().Table
	if table == nil {
		return call.Refuse(call.NotReady, notReadyWait), false
	}
	route, ok := table.Match(in.Host, in.URL.Path)
	if !ok {
		return call.Refuse(call.UnknownOperation, 0), false
	}
	if route.Fault != "" {
		return call.Refuse(call.NotReady, faultyRouteWait), false
	}
	organisation, ok := identify(table, route, head.Key)
	if !ok {
		return call.Refuse(call.UnknownKey, 0), false
	}
	if organisation != nil {
		q.organisation = organisation.Name
	}
	q.route, q.root = route, route.Name
	q.service = r.splitter.Pick(route)
	q.deadline = q.begun.Add(patience(head.Timeout, route.Timeout))
	q.nested = organisation == nil && table.Keyed()
	q.rank = rank(route, organisation)
	q.priority = priority(table.RelativeRank(route, organisation))
	return call.Answer{}, true
}

// letIn holds a caller's request to its organisation's rate, and turns it away while a service that it needs is full. Calls of
// running requests pass: refused, the work of their parents would be lost.
func (r *Router) letIn(q *request) (call.Answer, bool) {
	if q.nested {
		return call.Answer{}, true
	}
	if q.organisation != "" {
		q.quota = r.quota.Admit(q.organisation, q.begun)
		if q.quota.Surge {
			r.beats.soon(q.begun)
		}
		if !q.quota.Admitted {
			return call.Refuse(call.OverRate, q.quota.RetryAfter), false
		}
	}
	if q.shed = r.shedder.Admit(q.lane(), q.route.Target, q.begun); !q.shed.Admitted {
		r.quota.Refund(q.organisation, q.quota)
		return call.Refuse(call.Overloaded, q.shed.RetryAfter), false
	}
	return call.Answer{}, true
}

func (q *request) lane() shed.Class {
	return shed.Class{Route: q.root, Service: q.service, Rank: q.rank}
}

// adopt takes over what a nested request inherits from the run that it belongs to.
func (q *request) adopt(parent *lineage.Run) {
	if parent == nil {
		return
	}
	q.parent, q.root, q.repeat, q.priority = parent, parent.Root, parent.Retry, parent.Priority
}

// report tells those above the request how full the services on its way were: the front, or the run that made the call.
func (r *Router) report(q *request, a call.Answer) {
	switch {
	case q.parent != nil:
		q.parent.Observe(q.service, q.fullness, q.callRefused)
		if a.Reason != call.Cancelled && (a.Outcome != call.Whole || a.Status >= statusFailed) {
			r.owner.runs.CallFailed(q.parent, q.route.Name, time.Now())
		}
	case !q.nested:
		r.shedder.Observe(q.lane(), q.fullness, q.callRefused, time.Now())
	}
}

// notReadyWait is when to come back to a daemon that knows no configuration yet; it reads it within some hundred milliseconds.
const notReadyWait = 300 * time.Millisecond

// faultyRouteWait is when to come back to a route that can't be served; the operator's next version may mend it.
const faultyRouteWait = time.Second

// identify returns the organisation that holds the key; nil where none is needed, and false where one is missing.
func identify(t *routing.Table, route *routing.Route, key string) (*routing.Organisation, bool) {
	if organisation, ok := t.Authenticate(key); ok {
		return organisation, true
	}
	return nil, route.Public || !t.Keyed()
}

// patience is how long the request may take: as long as its caller waits, and as the operator wants it kept waiting.
func patience(caller, operator time.Duration) time.Duration {
	switch {
	case caller == 0 && operator == 0:
		return defaultTimeout
	case caller == 0:
		return operator
	case operator == 0:
		return caller
	default:
		return min(caller, operator)
	}
}

// priority turns a request's standing among all into one of the queue's, of which the last is kept for calls.
func priority(standing float64) call.Priority {
	return call.Interactive - call.Priority(min(int(standing*callersPriorities), callersPriorities-1))
}

// callersPriorities is how many priorities the queue has for callers' requests.
const callersPriorities = 3

// rank is that of the organisation, if it has one of its own, and behind it that of the route.
func rank(route *routing.Route, organisation *routing.Organisation) shed.Rank {
	if organisation != nil && organisation.Ranked {
		return shed.Rank{Organisation: organisation.Rank, Route: route.Rank}
	}
	return shed.Rank{Organisation: route.Rank, Route: route.Rank}
}

// readBody takes a request's body over in one piece of its size.
func readBody(in *http.Request) ([]byte, error) {
	if in.Body == nil {
		return nil, nil
	}
	defer func() { _ = in.Body.Close() }()
	if in.ContentLength <= 0 {
		return io.ReadAll(in.Body)
	}
	body := make([]byte, in.ContentLength)
	_, err := io.ReadFull(in.Body, body)
	return body, err
}

// oneConnection are headers that concern only the connection on which they come, or that this daemon sets itself.
var oneConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// forwardable removes the headers that concern only the caller's connection, and those that it names as such.
func forwardable(h http.Header) http.Header {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range oneConnection {
		h.Del(name)
	}
	return h
}

// write sends the answer to the caller: an instance's as it is, any other with what tells the caller when to come back.
func (r *Router) write(w http.ResponseWriter, q *request, a call.Answer) {
	h := w.Header()
	if a.Outcome == call.Whole {
		for name, values := range forwardable(a.Header) {
			h[name] = values
		}
	} else {
		r.heads.Refuse(h, q.id, a.RetryAfter)
		h.Set("Content-Type", "application/json")
		a.Body = refusalBody(q.id, a)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(status(a))
	_, _ = w.Write(a.Body)
}

// status is the answer's status. A request that did not run for want of time gets 503: 504 promises nothing, and its
// caller would have to find out what became of a payment that was never begun.
func status(a call.Answer) int {
	if a.Outcome == call.NotRun && a.Status == http.StatusGatewayTimeout {
		return http.StatusServiceUnavailable
	}
	return a.Status
}

// refuseFault answers a request that was refused before it was whole.
func (r *Router) refuseFault(f httpd.Fault) (int, http.Header, []byte) {
	refusal := call.Refuse(call.BadRequest, 0)
	switch f {
	case httpd.HeadTooLarge:
		refusal = call.Refuse(call.TooLarge, 0)
		refusal.Status = http.StatusRequestHeaderFieldsTooLarge
	case httpd.BodyTooLarge:
		refusal = call.Refuse(call.TooLarge, 0)
	case httpd.Full:
		refusal = call.Refuse(call.Overloaded, time.Second)
	case httpd.Closing:
		refusal = call.Refuse(call.Draining, 0)
		refusal.Status = http.StatusRequestTimeout
	case httpd.Malformed:
	}
	r.refusedEarly(f, refusal)
	header := http.Header{}
	r.heads.Refuse(header, "", refusal.RetryAfter)
	return refusal.Status, header, refusalBody("", refusal)
}
