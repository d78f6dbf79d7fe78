package router

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

// attempts are the attempts of a request, for its log line.
type attempts []attempt

// attempt is one attempt.
type attempt struct {
	Instance string `json:"instance"`
	Result   string `json:"ending"`
	Reason   string `json:"reason,omitempty"`
	Status   int    `json:"status,omitempty"`
	// AtMs is when the attempt began, in milliseconds after the request's arrival.
	AtMs     int64 `json:"atMs"`
	TookMs   int64 `json:"tookMs"`
	WaitedMs int64 `json:"waitedMs"`
	InFlight int   `json:"inFlight"`
	Queued   int   `json:"queued"`
	Limit    int   `json:"limit"`
	// Crashed means that the instance crashed under the request.
	Crashed bool `json:"crashed,omitempty"`
}

func (a *attempts) add(inst routing.Instance, result choice.Result, res runResult, at, took time.Duration) {
	entry := attempt{
		Instance: inst.ID, Result: result.String(), Status: res.Status, AtMs: at.Milliseconds(), TookMs: took.Milliseconds(), WaitedMs: res.Waited.Milliseconds(),
		InFlight: res.Load.InFlight, Queued: res.Load.Queued, Limit: res.Load.Limit, Crashed: res.Crashed,
	}
	if res.Reason != call.None {
		entry.Reason = res.Reason.String()
	}
	*a = append(*a, entry)
}

// countWithoutRedirects returns the number of attempts without those that were redirected because the instance was slow.
func (a attempts) countWithoutRedirects() int {
	count := 0
	for i := range a {
		if a[i].Reason != call.InstanceSlow.String() {
			count++
		}
	}
	return count
}

// recordRequest counts and logs the result of a caller's request. Requests that succeed at the first attempt are sampled; every refusal,
// failure and retry is logged.
func (r *Router) recordRequest(req *request, answer call.Answer, status int) {
	took := time.Since(req.arrivedAt)
	r.responses.add(answer, took)
	succeeded := answer.Outcome == call.Whole && status < statusFailed && req.attempts.countWithoutRedirects() == 1
	if succeeded && !r.responses.sample() {
		return
	}
	view := r.view.Load()
	fields := logrus.Fields{
		"requestId": req.id, "method": req.method, "outcome": answer.Outcome.String(), "status": status, "tookMs": took.Milliseconds(),
		"version": version(view), "revision": view.Revision,
	}
	if answer.Reason != call.None {
		fields["reason"] = answer.Reason.String()
	}
	if req.route != nil {
		fields["route"], fields["service"], fields["organisation"] = req.route.Name, req.service, req.organisation
		fields["priority"], fields["timeoutMs"] = req.priority.String(), req.deadline.Sub(req.arrivedAt).Milliseconds()
	}
	if answer.RetryAfter > 0 {
		fields["retryAfterMs"] = answer.RetryAfter.Milliseconds()
	}
	if answer.Reason == call.OverRate {
		fields["demand"], fields["rate"], fields["openShare"] = req.quota.Demand, req.quota.Rate, req.quota.AdmitFraction
		if req.quota.Age >= 0 {
			fields["demandAgeMs"] = req.quota.Age.Milliseconds()
		}
		if req.quota.Backlog > 0 {
			fields["backlogMs"] = req.quota.Backlog.Milliseconds()
		}
	}
	if req.shed.RejectFraction > 0 {
		fields["turnedAwayShare"], fields["planAgeMs"] = req.shed.RejectFraction, req.shed.Age.Milliseconds()
	}
	if req.shed.NoRetry {
		fields["noRetry"] = true
	}
	if req.shed.Surplus {
		fields["surplus"] = true
	}
	if req.contextEnd != nil {
		fields["contextEnd"] = req.contextEnd.Error()
	}
	if len(req.attempts) > 0 {
		fields["offers"] = req.attempts
	}
	r.log.WithFields(fields).Info("request")
}

// logFailedRun logs a run for another daemon that did not return a whole response. Redirects are counted only, since there are many.
func (r *Router) logFailedRun(req *runRequest, res *runResult) {
	if res.Outcome == call.Whole || res.redirects() {
		return
	}
	fields := logrus.Fields{
		"requestId": req.RequestID, "instance": req.Instance.ID, "route": req.Route, "outcome": res.Outcome.String(), "reason": res.Reason.String(),
		"remainingMs": req.Remaining.Milliseconds(), "waitedMs": res.Waited.Milliseconds(), "arrived": res.Arrived,
		"inFlight": res.Load.InFlight, "queued": res.Load.Queued, "limit": res.Load.Limit,
	}
	if verdict := req.inspection.verdict; verdict.Crashes > 0 {
		fields["crashes"], fields["content"] = verdict.Crashes, quarantine.Key{Route: req.Route, Fingerprint: verdict.Fingerprint}.String()
	}
	r.log.WithFields(fields).Info("run")
}

func (r *Router) recordEarlyRefusal(fault httpd.Fault, answer call.Answer) {
	r.responses.add(answer, 0)
	r.log.WithFields(logrus.Fields{"fault": fault.String(), "status": answer.Status}).Info("refused before it was whole")
}

// refusal is the JSON body of every response that is not an instance's.
type refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId,omitempty"`
}

func refusalBody(id string, answer call.Answer) []byte {
	raw, _ := json.Marshal(refusal{ // a struct of texts and numbers always has an encoding.
		Outcome: answer.Outcome.String(), Reason: answer.Reason.String(), RequestID: id, RetryAfterMs: answer.RetryAfter.Milliseconds(),
	})
	return append(raw, '\n')
}

// responseMetrics caches the metrics of each kind of response: creating a tagged scope costs several allocations each time.
type responseMetrics struct {
	scope telemetry.Scope

	mu        sync.Mutex
	byKind    map[responseKind]*kindMetrics
	succeeded int
}

type responseKind struct {
	outcome call.Outcome
	reason  call.Reason
}

type kindMetrics struct {
	responses tally.Counter
	seconds   tally.Histogram
}

func newResponseMetrics(scope telemetry.Scope) *responseMetrics {
	return &responseMetrics{scope: scope, byKind: map[responseKind]*kindMetrics{}}
}

func (m *responseMetrics) add(answer call.Answer, took time.Duration) {
	metrics := m.of(responseKind{answer.Outcome, answer.Reason})
	metrics.responses.Inc(1)
	metrics.seconds.RecordDuration(took)
}

func (m *responseMetrics) of(kind responseKind) *kindMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics := m.byKind[kind]
	if metrics == nil {
		scope := m.scope.Tagged(map[string]string{"outcome": kind.outcome.String(), "reason": kind.reason.String()})
		metrics = &kindMetrics{responses: scope.Counter(telemetry.Answers), seconds: scope.Latencies(telemetry.AnswerSeconds)}
		m.byKind[kind] = metrics
	}
	return metrics
}

// sampleInterval is the number of successful requests per logged one.
const sampleInterval = 16

// sample reports whether a successful request is logged.
func (m *responseMetrics) sample() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.succeeded++
	return m.succeeded%sampleInterval == 0
}
