package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

// request is a request of a caller, or of the instance on this host, at its ingress daemon.
type request struct {
	id           string
	active       *activeRequest
	arrivedAt    time.Time
	route        *routing.Route
	service      string
	organisation string
	method       string
	target       string
	httpHost     string
	header       http.Header
	body         []byte
	// deadline is when the caller, or the operator on its behalf, stops waiting.
	deadline time.Time
	// priority is that of the caller's request; a sub-call inherits it.
	priority call.Priority
	// subcall means that the instance on this host makes the request while it runs another. A request without an organisation's key counts
	// as one if the configuration has organisations.
	subcall bool
	// unkeyed means that the configuration has no organisations, so that a sub-call can't be told from a caller's request by its key.
	unkeyed bool
	// root is the route of the caller's request: inherited for a sub-call, otherwise the request's own.
	root string
	// parent is the run on this host's instance that made the sub-call, as far as it is known.
	parent   *lineage.Run
	retry    bool
	rank     shed.Rank
	shed     shed.Decision
	quota    quota.Decision
	attempts attempts
	// holds is the memory for the responses of the attempts.
	holds []*bounded.Hold
	// saturation and subcallRefused combine the results of the attempts: see runResult.
	saturation     float64
	subcallRefused bool
	// suspect is the fingerprint of the content if it runs on one instance at a time, 0 if it may run anywhere.
	suspect quarantine.Fingerprint
	// contextEnd is why the request's context ended before its response was written, nil if it didn't.
	contextEnd error
}

// serve answers one request of a caller or of the instance on this host.
func (r *Router) serve(w http.ResponseWriter, in *http.Request) {
	req := &request{arrivedAt: httpd.Arrived(in.Context()), method: in.Method, target: in.RequestURI, httpHost: in.Host}
	req.active = r.active.begin(req.arrivedAt)
	defer r.active.end(req.active)
	defer req.releaseResponses()
	answer, ok := r.admit(req, in)
	if ok {
		ctx, cancel := context.WithDeadline(in.Context(), req.deadline)
		req.active.onEnd(cancel)
		answer = r.leavingAnswer(req, r.dispatch(ctx, req), time.Now())
		r.recordFeedback(req, answer)
		cancel()
		if answer.Outcome == call.NotRun && req.organisation != "" {
			r.quota.Refund(req.organisation, req.quota)
		}
	} else {
		answer = r.leavingAnswer(req, answer, time.Now())
	}
	req.contextEnd = context.Cause(in.Context())
	res := r.respond(req, answer)
	r.recordRequest(req, answer, res.status)
	res.write(w, req.deadline)
}

// releaseResponses releases the memory for the responses of the attempts, once one of them was written.
func (req *request) releaseResponses() {
	for _, hold := range req.holds {
		hold.Release()
	}
}

// defaultTimeout applies to a request for which neither the caller nor the operator sets a timeout.
const defaultTimeout = 30 * time.Second

// admit determines the request's route, organisation and deadline and checks its admission; false comes with the refusal.
func (r *Router) admit(req *request, in *http.Request) (call.Answer, bool) {
	head, err := r.heads.Caller(in.Header)
	req.id = head.RequestID
	if req.id == "" {
		req.id = uuid.NewString()
	}
	if err != nil {
		return call.Refuse(call.BadRequest, 0), false
	}
	if refusal, ok := r.recognise(req, in, head); !ok {
		return refusal, false
	}
	if req.body, err = httpd.ReadBody(in); err != nil {
		return call.Refuse(call.BadRequest, 0), false
	}
	req.header = removeConnectionHeaders(in.Header)
	req.active.progress.Store(&progress{requestID: req.id, route: req.route.Name})
	if r.stopsBefore(req, head.Timeout) {
		return call.Refuse(call.Draining, 0), false
	}
	if req.subcall {
		req.inherit(r.executor.runs.Parent(req.route.Name, req.arrivedAt.Add(head.Timeout)))
	}
	return r.checkAdmission(req)
}

// recognise determines the request's route and organisation.
func (r *Router) recognise(req *request, in *http.Request, head CallerHead) (call.Answer, bool) {
	table := r.view.Load().Table
	if table == nil {
		return call.Refuse(call.NotReady, r.notReadyRetryAfter(req.arrivedAt)), false
	}
	route, ok := table.Match(in.Host, in.URL.Path)
	if !ok {
		return call.Refuse(call.UnknownOperation, 0), false
	}
	if route.Fault != "" {
		return call.Refuse(call.NotReady, faultyRouteRetryAfter), false
	}
	organisation, ok := identify(table, route, head.Key)
	if !ok {
		return call.Refuse(call.UnknownKey, 0), false
	}
	if organisation != nil {
		req.organisation = organisation.Name
	}
	req.route, req.root = route, route.Name
	req.service = r.splitter.Pick(route)
	req.deadline = req.arrivedAt.Add(effectiveTimeout(head.Timeout, route.Timeout))
	req.unkeyed = !table.Keyed()
	req.subcall = organisation == nil && !req.unkeyed
	req.rank = rank(route, organisation)
	req.priority = priority(table.RelativeRank(route, organisation))
	return call.Answer{}, true
}

// checkAdmission enforces the organisation's rate limit on a caller's request, then sheds the request while a service that it needs is
// overloaded. Sub-calls always pass: if they were shed, the work done for their parents would be wasted.
func (r *Router) checkAdmission(req *request) (call.Answer, bool) {
	if req.subcall {
		return call.Answer{}, true
	}
	if req.organisation != "" {
		req.quota = r.quota.AdmitByDeadline(req.organisation, req.deadline, req.arrivedAt)
		r.logRateSource(req)
		if req.quota.Surge {
			r.reporter.triggerEarly(req.arrivedAt)
		}
		if !req.quota.Admitted {
			return call.Refuse(call.OverRate, req.quota.RetryAfter), false
		}
	}
	usual := r.usualShares.Usual(req.organisation, req.arrivedAt)
	if req.shed = r.shedder.AdmitUsual(req.class(), usual, req.route.Target, req.arrivedAt); !req.shed.Admitted {
		r.quota.Refund(req.organisation, req.quota)
		return call.Refuse(call.Overloaded, req.shed.RetryAfter), false
	}
	return call.Answer{}, true
}

// logRateSource logs when the daemon begins to decide by its own share of the rates, since it has no current allocation, and when it ends that.
func (r *Router) logRateSource(req *request) {
	if req.quota.Rate == 0 {
		return
	}
	byShare := req.quota.Age < 0
	if r.ratesByShare.Swap(byShare) == byShare {
		return
	}
	fields := logrus.Fields{"byShare": byShare, "organisation": req.organisation, "demand": req.quota.Demand, "openShare": req.quota.AdmitFraction, "rate": req.quota.Rate}
	if !byShare {
		fields["demandAgeMs"] = req.quota.Age.Milliseconds()
	}
	r.log.WithFields(fields).Info("rates by share")
}

func (req *request) class() shed.Class {
	return shed.Class{Route: req.root, Service: req.service, Rank: req.rank}
}

// inherit copies to a sub-call what it takes over from its parent run.
func (req *request) inherit(parent *lineage.Run) {
	if parent == nil {
		return
	}
	req.parent, req.root, req.retry, req.priority = parent, parent.Root, parent.Retry, parent.Priority
}

// recordFeedback reports the saturation of the services on the request's way to the shedder, or to the run that made the sub-call.
func (r *Router) recordFeedback(req *request, answer call.Answer) {
	switch {
	case req.parent != nil:
		req.parent.Observe(req.service, req.saturation, req.subcallRefused)
		if answer.Reason != call.Cancelled && (answer.Outcome != call.Whole || answer.Status >= statusFailed) {
			r.executor.runs.CallFailed(req.parent, req.route.Name, time.Now())
		}
	case !req.subcall:
		r.shedder.Observe(req.class(), req.saturation, req.subcallRefused, time.Now())
	}
}

const (
	// minNotReadyRetryAfter is the shortest Retry-After of a daemon without a configuration: alone, it gets one within that time.
	minNotReadyRetryAfter = 300 * time.Millisecond
	// maxNotReadyRetryAfter bounds the Retry-After of a daemon that has waited for long.
	maxNotReadyRetryAfter = 2 * time.Second
)

// notReadyRetryAfter returns the Retry-After of a daemon without a configuration: as long as it has waited already. How long a start takes depends
// on how many daemons start at the same time, which this one doesn't know. With a short fixed time, callers would return and be refused again.
func (r *Router) notReadyRetryAfter(now time.Time) time.Duration {
	waited := now.Sub(r.reporter.startedAt)
	return min(max(waited, minNotReadyRetryAfter), maxNotReadyRetryAfter)
}

// faultyRouteRetryAfter is the Retry-After of a route that can't be served; the operator's next version may fix it.
const faultyRouteRetryAfter = time.Second

// identify returns the organisation that holds the key. It returns nil if the route needs no organisation, and false if a required key is
// missing or unknown.
func identify(table *routing.Table, route *routing.Route, key string) (*routing.Organisation, bool) {
	if organisation, ok := table.Authenticate(key); ok {
		return organisation, true
	}
	return nil, route.Public || !table.Keyed()
}

// effectiveTimeout returns how long a request may take: the lower of the caller's and the operator's timeout, where 0 means none.
func effectiveTimeout(caller, operator time.Duration) time.Duration {
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

// priority maps a request's relative rank to a priority of the queue. The highest priority, call.Nested, is reserved for sub-calls.
func priority(relativeRank float64) call.Priority {
	return call.Interactive - call.Priority(min(int(relativeRank*callerPriorities), callerPriorities-1))
}

// callerPriorities is the number of queue priorities for callers' requests.
const callerPriorities = 3

// rank returns the rank of a request: that of its organisation, if it is configured, and then that of its route.
func rank(route *routing.Route, organisation *routing.Organisation) shed.Rank {
	if organisation != nil && organisation.Ranked {
		return shed.Rank{Organisation: organisation.Rank, Route: route.Rank}
	}
	return shed.Rank{Organisation: route.Rank, Route: route.Rank}
}

// refuseFault returns the response to a request that was refused before it was fully received.
func (r *Router) refuseFault(fault httpd.Fault) (int, http.Header, []byte) {
	refusal := call.Refuse(call.BadRequest, 0)
	switch fault {
	case httpd.HeadTooLarge:
		refusal = call.Refuse(call.TooLarge, 0)
		refusal.Status = http.StatusRequestHeaderFieldsTooLarge
	case httpd.BodyTooLarge:
		refusal = call.Refuse(call.TooLarge, 0)
	case httpd.Full:
		refusal = call.Refuse(call.NoRoom, noRoomRetryAfter)
	case httpd.Closing:
		refusal = call.Refuse(call.Draining, 0)
		refusal.Status = http.StatusRequestTimeout
	case httpd.Malformed:
	}
	r.recordEarlyRefusal(fault, refusal)
	header := http.Header{}
	r.heads.Refuse(header, "", refusal.RetryAfter)
	return refusal.Status, header, refusalBody("", refusal)
}
