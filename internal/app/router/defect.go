package router

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

//go:generate stringer -type=defect -linecomment

// defect is what is wrong with a response, so that no caller may be sent it.
type defect uint8

const (
	// sound means that nothing is wrong.
	sound defect = iota // none
	// undecided means that there is no outcome.
	undecided // undecided
	// badStatus means that the status is none that a final response has.
	badStatus // badStatus
	// unsigned means that a response with a status below 400 has no signature of an instance.
	unsigned // unsigned
	// foreign means that an instance's response states another request's id, or is a success and states none.
	foreign // foreign
	// encoded means that the body is not the instance's own bytes.
	encoded // encoded
	// malformed means that a field of the response has a name that none may have: a daemon of an earlier release has misread the response.
	malformed // malformed
)

// maxStatus is the highest HTTP status.
const maxStatus = 999

// defectOf returns what is wrong with the response to the request.
func (r *Router) defectOf(req *request, answer call.Answer) defect {
	switch answer.Outcome {
	case call.NotRun, call.Unknown:
		return sound
	case call.Whole:
		return r.defectOfInstance(req, answer)
	default:
		return undecided
	}
}

// defectOfInstance returns what is wrong with an instance's response.
func (r *Router) defectOfInstance(req *request, answer call.Answer) defect {
	head := r.heads.Answer(answer.Status, answer.Header)
	success := answer.Status < http.StatusBadRequest
	switch {
	case answer.Status < http.StatusOK || answer.Status > maxStatus:
		return badStatus
	case head.RequestID != req.id && (success || head.RequestID != ""):
		return foreign
	case head.Encoded:
		return encoded
	case !responsehead.HasOnlyTokens(answer.Header):
		return malformed
	case success && !head.Authentic:
		return unsigned
	default:
		return sound
	}
}

// reportDefect counts and logs a response that its caller isn't sent. The instance is empty if the response isn't the result of one attempt.
func (r *Router) reportDefect(req *request, answer call.Answer, found defect, instance string) {
	r.metrics.Tagged(map[string]string{"defect": found.String()}).Counter(telemetry.ResponsesReplaced).Inc(1)
	r.log.WithFields(logrus.Fields{
		"requestId": req.id, "instance": instance, "defect": found.String(), "outcome": answer.Outcome.String(), "status": answer.Status,
		"bodyBytes": len(answer.Body), "offers": req.attempts,
	}).Warn("response replaced")
}
