package router

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

//go:generate stringer -type=defect -linecomment

// defect is what is wrong with a response to a caller.
type defect uint8

const (
	// sound means that nothing is wrong.
	sound defect = iota // none
	// unwritableStatus means that the status can't be written, or isn't one of a final response.
	unwritableStatus // unwritableStatus
	// ownSuccess means that a response of this daemon's own has a status below 400.
	ownSuccess // ownSuccess
	// unsigned means that a response with a status below 400 has no signature of an instance.
	unsigned // unsigned
	// foreign means that an instance's response belongs to another request.
	foreign // foreign
)

// defectOf returns what is wrong with the response.
func (r *Router) defectOf(req *request, answer call.Answer, decided int) defect {
	head := r.heads.Answer(decided, answer.Header)
	switch {
	case writtenStatus(decided) != decided:
		return unwritableStatus
	case decided >= http.StatusBadRequest:
		return sound
	case answer.Outcome != call.Whole:
		return ownSuccess
	case !head.Authentic:
		return unsigned
	case head.RequestID != "" && head.RequestID != req.id:
		return foreign
	default:
		return sound
	}
}

// writtenStatus returns the status that the HTTP library writes for the one that was decided.
func writtenStatus(decided int) int {
	if http.StatusText(decided) == "" {
		return http.StatusOK
	}
	return decided
}

// reportDefect counts and logs a response to a caller that has a defect.
func (r *Router) reportDefect(req *request, answer call.Answer, decided, written int) {
	found := r.defectOf(req, answer, decided)
	if found == sound {
		return
	}
	r.metrics.Tagged(map[string]string{"defect": found.String()}).Counter(telemetry.ResponsesReplaced).Inc(1)
	r.log.WithFields(logrus.Fields{
		"requestId": req.id, "defect": found.String(), "outcome": answer.Outcome.String(), "reason": answer.Reason.String(),
		"decidedStatus": decided, "writtenStatus": written, "bodyBytes": len(answer.Body), "offers": req.attempts,
	}).Warn("response replaced")
}
