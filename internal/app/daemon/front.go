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

func newID() string { return uuid.NewString() }

// Refusal is the JSON body of every answer that is not an upstream's.
type Refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId,omitempty"`
}

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	defer d.inFlight.begin().end()
	begun := time.Now()
	body, err := readBody(r)
	if err != nil {
		d.turnAway(w, r, call.Refuse(call.BadRequest, 0), begun)
		return
	}
	a, refusal, ok := d.admit(r, body, begun)
	if !ok {
		d.turnAway(w, r, refusal, begun)
		return
	}
	answer := d.repeats.route(r.Context(), a)
	if answer.Outcome == call.NotRun {
		d.rates.giveBack(&a)
	}
	d.finish(w, &a.request, answer, begun)
}

// turnAway answers and logs a request that did not get past the door.
func (d *Daemon) turnAway(w http.ResponseWriter, r *http.Request, refusal call.Answer, begun time.Time) {
	known := d.refused(r)
	d.log.WithFields(logrus.Fields{
		"decision": "refuse", "requestId": known.ID, "organisation": known.Organisation, "service": known.Service,
		"path": known.Path, "method": known.Method, "depth": known.Depth,
		"outcome": refusal.Outcome.String(), "reason": refusal.Reason.String(), "retryAfterMs": refusal.RetryAfter.Milliseconds(),
	}).Info("door")
	d.finish(w, known, refusal, begun)
}

func (d *Daemon) finish(w http.ResponseWriter, r *call.Request, a call.Answer, begun time.Time) {
	d.answers.add(a, time.Since(begun))
	if a.Outcome == call.Whole {
		writeWhole(w, r, a)
		return
	}
	writeRefusal(w, r, a)
}

func writeWhole(w http.ResponseWriter, r *call.Request, a call.Answer) {
	for name, values := range a.Header {
		switch name {
		case "Connection", "Transfer-Encoding", "Content-Length":
		default:
			if !forged(name) {
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
	raw := refusalBody(a, r.ID)
	refusalHead(w.Header(), a)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set(upstream.HeaderRequestID, r.ID)
	w.WriteHeader(a.Status)
	_, _ = w.Write(raw)
}

func refusalBody(a call.Answer, requestID string) []byte {
	raw, _ := json.Marshal(Refusal{
		Outcome: a.Outcome.String(), Reason: a.Reason.String(), RequestID: requestID, RetryAfterMs: a.RetryAfter.Milliseconds(),
	})
	return append(raw, '\n')
}

func refusalHead(h http.Header, a call.Answer) {
	h.Set("Content-Type", "application/json")
	h.Set(upstream.HeaderOutcome, a.Outcome.String())
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
}
