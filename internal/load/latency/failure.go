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

// mostRefusal bounds how much of a refused request's answer is read.
const mostRefusal = 4 << 10

// refused names why a request got an answer that is not whole: the daemon's outcome and reason, or the status of another's answer.
func refused(res *http.Response) string {
	var body struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	}
	err := json.NewDecoder(io.LimitReader(res.Body, mostRefusal)).Decode(&body)
	if err != nil || body.Outcome == "" {
		return fmt.Sprintf("status %d", res.StatusCode)
	}
	return body.Outcome + " " + body.Reason
}

// broken names why a request got no answer.
func broken(err error) string {
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
