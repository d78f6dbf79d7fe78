package explain

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Entry is one decision as logged by a daemon.
type Entry struct {
	Time         time.Time `json:"time"`
	Decision     string    `json:"decision"`
	RequestID    string    `json:"requestId,omitempty"`
	Organisation string    `json:"organisation,omitempty"`
	Operation    string    `json:"operation,omitempty"`
	Service      string    `json:"service,omitempty"`
	Method       string    `json:"method,omitempty"`
	Path         string    `json:"path,omitempty"`
	Host         string    `json:"host,omitempty"`
	Zone         string    `json:"zone,omitempty"`
	Attempt      int       `json:"attempt,omitempty"`
	Depth        int       `json:"depth,omitempty"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	RetryAfterMs int64     `json:"retryAfterMs,omitempty"`
	DurationUs   int64     `json:"durationUs,omitempty"`
}

// Sentence describes the request, the decision and its reason.
func (e Entry) Sentence() string {
	text := e.describe()
	if e.Outcome == call.Whole.String() {
		return text + ": the upstream's whole answer came back."
	}
	text += fmt.Sprintf(": %s (%s).", e.Outcome, e.Reason)
	advice, ok := AdviceFor(e.Reason)
	if !ok {
		return text
	}
	text += " " + advice.Meaning
	if e.RetryAfterMs > 0 {
		text += fmt.Sprintf(" The caller was told to come back in %s.", time.Duration(e.RetryAfterMs)*time.Millisecond)
	}
	return text
}

func (e Entry) describe() string {
	subject := e.Operation
	if subject == "" {
		subject = fmt.Sprintf("%s /%s%s", e.Method, e.Service, e.Path)
	}
	if e.Organisation != "" {
		subject += " of " + e.Organisation
	}
	if e.Host == "" {
		return fmt.Sprintf("%s, %s", e.Decision, subject)
	}
	text := fmt.Sprintf("%s, %s on %s in zone %s, attempt %d", e.Decision, subject, e.Host, e.Zone, e.Attempt)
	if e.Depth > 0 {
		text += fmt.Sprintf(", %d hops deep", e.Depth)
	}
	return fmt.Sprintf("%s, took %s", text, time.Duration(e.DurationUs)*time.Microsecond)
}
