package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
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
	body, err := readBody(r)
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
	if answer.Outcome == call.NotRun {
		d.rateLimiter.returnToken(&a)
	}
	d.respond(w, &a.request, answer, started)
}

// reject logs and writes the response to a request that was not admitted.
func (d *Daemon) reject(w http.ResponseWriter, r *http.Request, refusal call.Answer, started time.Time) {
	request := d.describeRefused(r)
	d.log.WithFields(logrus.Fields{
		"decision": "refuse", "requestId": request.ID, "organisation": request.Organisation, "service": request.Service,
		"path": request.Path, "method": request.Method, "depth": request.Depth,
		"outcome": refusal.Outcome.String(), "reason": refusal.Reason.String(), "retryAfterMs": refusal.RetryAfter.Milliseconds(),
	}).Info("door")
	d.respond(w, request, refusal, started)
}

func (d *Daemon) respond(w http.ResponseWriter, r *call.Request, a call.Answer, started time.Time) {
	d.responses.add(a, time.Since(started))
	if a.Outcome == call.Whole {
		writeAnswer(w, r, a)
		return
	}
	writeRefusal(w, r, a)
}

func writeAnswer(w http.ResponseWriter, r *call.Request, a call.Answer) {
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
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
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
