package daemon

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

func newRequestID() string { return uuid.NewString() }

// Refusal is the JSON body of every response that doesn't come from an upstream.
type Refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId,omitempty"`
}

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	defer d.inFlight.begin().end()
	started := time.Now()
	body, err := httpd.ReadBody(r)
	if err != nil {
		d.reject(w, r, call.Refuse(call.BadRequest, 0), started)
		return
	}
	a, refusal, ok := d.admit(r, body, started)
	if !ok {
		d.reject(w, r, refusal, started)
		return
	}
	answer := d.dedup.route(r.Context(), a)
	defer answer.Release()
	if answer.Outcome == call.NotRun {
		d.rateLimiter.returnToken(&a)
	}
	d.respond(r.Context(), w, &a.request, answer, started)
}

// reject logs and writes the response to a request that was not admitted.
func (d *Daemon) reject(w http.ResponseWriter, r *http.Request, refusal call.Answer, started time.Time) {
	request := d.describeRefused(r)
	d.log.WithFields(logrus.Fields{
		"decision": "refuse", "requestId": request.ID, "organisation": request.Organisation, "service": request.Service,
		"path": request.Path, "method": request.Method, "depth": request.Depth,
		"outcome": refusal.Outcome.String(), "reason": refusal.Reason.String(), "retryAfterMs": refusal.RetryAfter.Milliseconds(),
	}).Info("door")
	d.respond(r.Context(), w, request, refusal, started)
}

// respond writes the response to an admitted or refused request. It is the only place that does, and writes a success only
// if it is an upstream's whole response.
func (d *Daemon) respond(ctx context.Context, w http.ResponseWriter, r *call.Request, a call.Answer, started time.Time) {
	callerLeft := a.Reason == call.Cancelled && ctx.Err() != nil
	written, counted := a, a
	if !isDecided(a) || a.Reason == call.Cancelled {
		written = call.UnknownOutcome(call.AnswerLost)
		if !callerLeft {
			counted = written
			d.logReplaced(r, a, written)
		}
	}
	d.responses.add(counted, time.Since(started))
	if written.Outcome == call.Whole {
		writeAnswer(w, r, written)
		return
	}
	writeRefusal(w, r, written)
}

// isDecided reports whether the answer is an upstream's whole response, with a head that one may have, or a refusal or failure with a reason and a
// status for it.
func isDecided(a call.Answer) bool {
	switch a.Outcome {
	case call.Whole:
		return a.Reason == call.None && a.Status >= http.StatusOK && a.Status <= maxStatus && responsehead.HasOnlyTokens(a.Header)
	case call.NotRun, call.Unknown:
		known := http.StatusText(a.Status) != "" || a.Status == a.Reason.Status()
		return a.Reason != call.None && a.Status >= http.StatusBadRequest && known
	default:
		return false
	}
}

// maxStatus is the highest status of three digits.
const maxStatus = 999

// logReplaced counts and logs a response that was not written as decided.
func (d *Daemon) logReplaced(r *call.Request, decided, written call.Answer) {
	defect := "undecided"
	if decided.Reason == call.Cancelled {
		defect = call.Cancelled.String()
	}
	d.metrics.Tagged(map[string]string{"defect": defect}).Counter(telemetry.ResponsesReplaced).Inc(1)
	d.log.WithFields(logrus.Fields{
		"requestId": r.ID, "organisation": r.Organisation, "operation": r.Operation,
		"outcome": decided.Outcome.String(), "reason": decided.Reason.String(), "status": decided.Status, "written": written.Status,
	}).Warn("response replaced")
}

// readGrace is how long after its deadline a caller may still read a response that others wait for the memory of.
const readGrace = time.Second

// writeAnswer writes an upstream's response. Without a body the server knows whether a length may be stated: that of a HEAD response isn't 0.
func writeAnswer(w http.ResponseWriter, r *call.Request, a call.Answer) {
	if len(a.Body) > bounded.SmallBytes {
		// Every server of this daemon supports write deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(r.Deadline.Add(readGrace))
	}
	for name, values := range a.Header {
		switch name {
		case "Connection", "Transfer-Encoding", "Content-Length":
		default:
			if !isReserved(name) {
				w.Header()[name] = values
			}
		}
	}
	w.Header().Set(upstream.HeaderOutcome, a.Outcome.String())
	w.Header().Set(upstream.HeaderRequestID, r.ID)
	if len(a.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func writeRefusal(w http.ResponseWriter, r *call.Request, a call.Answer) {
	body := refusalBody(a, r.ID)
	setRefusalHeaders(w.Header(), a)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(upstream.HeaderRequestID, r.ID)
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

func refusalBody(a call.Answer, requestID string) []byte {
	raw, _ := json.Marshal(Refusal{
		Outcome: a.Outcome.String(), Reason: a.Reason.String(), RequestID: requestID, RetryAfterMs: a.RetryAfter.Milliseconds(),
	})
	return append(raw, '\n')
}

func setRefusalHeaders(h http.Header, a call.Answer) {
	h.Set("Content-Type", "application/json")
	h.Set(upstream.HeaderOutcome, a.Outcome.String())
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
}
