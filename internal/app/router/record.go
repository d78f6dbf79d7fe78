package router

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
)

// attempts is what became of a request at each instance that it was offered to.
type attempts []step

// step is one offer.
type step struct {
	Instance string `json:"instance"`
	Ending   string `json:"ending"`
	Reason   string `json:"reason,omitempty"`
	Status   int    `json:"status,omitempty"`
	TookMs   int64  `json:"tookMs"`
	WaitedMs int64  `json:"waitedMs"`
	InFlight int    `json:"inFlight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
}

func (t *attempts) add(i routing.Instance, e choice.Result, back runResult, took time.Duration) {
	s := step{
		Instance: i.ID, Ending: e.String(), Status: back.Status, TookMs: took.Milliseconds(), WaitedMs: back.Waited.Milliseconds(),
		InFlight: back.Load.InFlight, Queued: back.Load.Queued, Limit: back.Load.Limit,
	}
	if back.Reason != call.None {
		s.Reason = back.Reason.String()
	}
	*t = append(*t, s)
}

// conclude counts and logs how a caller's request ended. What went well is logged in a part only; every refusal, failure and repeat is.
func (r *Router) conclude(q *request, a call.Answer) {
	took := time.Since(q.begun)
	r.counts.add(a, took)
	plain := a.Outcome == call.Whole && a.Status < statusFailed && len(q.trail) == 1
	if plain && !r.counts.sample() {
		return
	}
	view := r.view.Load()
	fields := logrus.Fields{
		"requestId": q.id, "method": q.method, "outcome": a.Outcome.String(), "status": status(a), "tookMs": took.Milliseconds(),
		"version": version(view), "revision": view.Revision,
	}
	if a.Reason != call.None {
		fields["reason"] = a.Reason.String()
	}
	if q.route != nil {
		fields["route"], fields["service"], fields["organisation"] = q.route.Name, q.service, q.organisation
		fields["priority"], fields["timeoutMs"] = q.priority.String(), q.deadline.Sub(q.begun).Milliseconds()
	}
	if a.RetryAfter > 0 {
		fields["retryAfterMs"] = a.RetryAfter.Milliseconds()
	}
	if a.Reason == call.OverRate {
		fields["demand"], fields["rate"], fields["openShare"] = q.quota.Demand, q.quota.Rate, q.quota.AdmitFraction
		if q.quota.Age >= 0 {
			fields["demandAgeMs"] = q.quota.Age.Milliseconds()
		}
	}
	if q.shed.RejectFraction > 0 {
		fields["turnedAwayShare"], fields["planAgeMs"] = q.shed.RejectFraction, q.shed.Age.Milliseconds()
	}
	if len(q.trail) > 0 {
		fields["offers"] = q.trail
	}
	r.log.WithFields(fields).Info("request")
}

// concludeRun logs a run for another daemon that did not end whole.
func (r *Router) concludeRun(m *runRequest, out *runResult) {
	if out.Outcome == call.Whole {
		return
	}
	r.log.WithFields(logrus.Fields{
		"requestId": m.RequestID, "instance": m.Instance.ID, "route": m.Route, "outcome": out.Outcome.String(), "reason": out.Reason.String(),
		"remainingMs": m.Remaining.Milliseconds(), "waitedMs": out.Waited.Milliseconds(), "arrived": out.Arrived,
		"inFlight": out.Load.InFlight, "queued": out.Load.Queued, "limit": out.Load.Limit,
	}).Info("run")
}

func (r *Router) refusedEarly(f httpd.Fault, a call.Answer) {
	r.counts.add(a, 0)
	r.log.WithFields(logrus.Fields{"fault": f.String(), "status": a.Status}).Info("refused before it was whole")
}

// refusal is the JSON body of every answer that is not an instance's.
type refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId,omitempty"`
}

func refusalBody(id string, a call.Answer) []byte {
	raw, _ := json.Marshal(refusal{ // a struct of texts and numbers always has an encoding.
		Outcome: a.Outcome.String(), Reason: a.Reason.String(), RequestID: id, RetryAfterMs: a.RetryAfter.Milliseconds(),
	})
	return append(raw, '\n')
}

// counts keeps the metrics of every kind of answer that came up: making a tagged scope costs several allocations, each time anew.
type counts struct {
	scope telemetry.Scope

	mu      sync.Mutex
	kinds   map[kind]*count
	sampled int
}

type kind struct {
	outcome call.Outcome
	reason  call.Reason
}

type count struct {
	answers tally.Counter
	seconds tally.Histogram
}

func newCounts(scope telemetry.Scope) *counts { return &counts{scope: scope, kinds: map[kind]*count{}} }

func (c *counts) add(a call.Answer, took time.Duration) {
	n := c.of(kind{a.Outcome, a.Reason})
	n.answers.Inc(1)
	n.seconds.RecordDuration(took)
}

func (c *counts) of(k kind) *count {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.kinds[k]
	if n == nil {
		scope := c.scope.Tagged(map[string]string{"outcome": k.outcome.String(), "reason": k.reason.String()})
		n = &count{answers: scope.Counter(telemetry.Answers), seconds: scope.Latencies(telemetry.AnswerSeconds)}
		c.kinds[k] = n
	}
	return n
}

// sampleEvery is how many requests that went well stand behind one line.
const sampleEvery = 16

// sample reports whether a request that went well is logged.
func (c *counts) sample() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sampled++
	return c.sampled%sampleEvery == 0
}
