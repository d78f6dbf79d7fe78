package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// response is what a caller is sent. Only respond makes one, so that no success is sent that isn't an instance's own.
type response struct {
	status int
	header http.Header
	body   []byte
}

// respond returns the response to a caller: an instance's as it is, any other with a body and headers that state the Retry-After delay. An
// answer with a defect becomes a failure that leaves open whether the request ran.
func (r *Router) respond(req *request, answer call.Answer) response {
	if found := r.defectOf(req, answer); found != sound {
		r.reportDefect(req, answer, found, "")
		answer = call.UnknownOutcome(call.AnswerLost)
	}
	if answer.Outcome == call.Whole {
		return response{status: answer.Status, header: answer.Header, body: answer.Body}
	}
	header := http.Header{}
	r.heads.Refuse(header, req.id, answer.RetryAfter)
	header.Set("Content-Type", "application/json")
	return response{status: failureStatus(answer), header: header, body: refusalBody(req.id, answer)}
}

// failureStatus returns the HTTP status of a response that isn't an instance's. A request that did not run for lack of time gets 503: a 504
// leaves open whether it ran, so the caller would have to find out what became of, say, a payment that was never started. For the same
// reason one that may have run never gets 503.
func failureStatus(answer call.Answer) int {
	switch {
	case answer.Outcome == call.NotRun && answer.Status == http.StatusGatewayTimeout:
		return http.StatusServiceUnavailable
	case answer.Outcome == call.NotRun, answer.Status == http.StatusGatewayTimeout:
		return answer.Status
	default:
		return http.StatusBadGateway
	}
}

// readGrace is how long after its deadline a caller may still read a response that others wait for the memory of.
const readGrace = time.Second

// write writes the response, and returns when nothing of a large body is left in memory. Without a body the server knows whether a length may be
// stated: that of a HEAD response isn't 0.
func (res *response) write(w http.ResponseWriter, deadline time.Time) {
	if len(res.body) > bounded.SmallBytes {
		// Every server of this daemon supports write deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(readGrace))
	}
	header := w.Header()
	for name, values := range res.header {
		header[name] = values
	}
	if len(res.body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	w.WriteHeader(res.status)
	_, _ = w.Write(res.body)
}

// connectionHeaders are the canonical names of headers that concern only the connection on which they arrive, or that this daemon sets itself.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// removeConnectionHeaders removes the headers that concern only one connection, and those that its Connection header names as such.
func removeConnectionHeaders(header http.Header) http.Header {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
	return header
}
