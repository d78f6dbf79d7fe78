package latency

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
)

// maxFailureBody limits how many bytes of a failed request's response are read.
const maxFailureBody = 4 << 10

// responseFailure returns the reason of an unsuccessful response: the daemon's outcome and reason, or the status if the
// response isn't the daemon's.
func responseFailure(res *http.Response) string {
	var body struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	}
	err := json.NewDecoder(io.LimitReader(res.Body, maxFailureBody)).Decode(&body)
	if err != nil || body.Outcome == "" {
		return fmt.Sprintf("status %d", res.StatusCode)
	}
	return body.Outcome + " " + body.Reason
}

// transportFailure returns the reason why a request got no complete response.
func transportFailure(err error) string {
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "connection reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.As(err, &op):
		return op.Op + ": " + op.Err.Error()
	default:
		return "error: " + err.Error()
	}
}
