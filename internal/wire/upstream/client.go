package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

// Names of HTTP headers between daemon and upstream.
const (
	HeaderOrganisation = "Foxtailhook-Organisation"
	HeaderOperation    = "Foxtailhook-Operation"
	HeaderRequestID    = "Foxtailhook-Request-Id"
	HeaderToken        = "Foxtailhook-Token"
	HeaderTimeout      = "Foxtailhook-Timeout-Ms"
	HeaderOutcome      = "Foxtailhook-Outcome"
)

// Client sends requests to one upstream, each at most once.
type Client struct {
	address              netip.AddrPort
	nonIdempotent        *http.Transport
	idempotent           *http.Transport
	nonIdempotentMaxIdle time.Duration
	maxResponse          int64
	// account counts the memory of responses.
	account *bounded.Account
}

const (
	dialTimeout       = 500 * time.Millisecond
	maxIdleConns      = 512
	idempotentMaxIdle = 30 * time.Second
	// defaultNonIdempotentMaxIdle is below the idle timeouts that are common for upstreams (2 s and more).
	defaultNonIdempotentMaxIdle = time.Second
	defaultMaxResponse          = 64 << 20
	// maxHead bounds the head of a response in bytes.
	maxHead = 256 << 10
)

// defaultLimits bound the memory of the responses of a client without an account.
var defaultLimits = bounded.Limits{Total: 72 << 20, Each: 72 << 20, Small: 16 << 20}

// Option configures a client.
type Option func(*Client)

// WithMaxResponse bounds the size of a response body in bytes.
func WithMaxResponse(bytes int64) Option { return func(c *Client) { c.maxResponse = bytes } }

// WithAccount sets the account of the memory that responses take.
func WithAccount(a *bounded.Account) Option { return func(c *Client) { c.account = a } }

// WithNonIdempotentMaxIdle sets how long a connection may be idle before a request that is
// not idempotent opens a new one instead; it should be below the upstream's own idle timeout.
func WithNonIdempotentMaxIdle(d time.Duration) Option {
	return func(c *Client) { c.nonIdempotentMaxIdle = d }
}

// New returns a client for the upstream at the address.
//
// Requests that are not idempotent have connections of their own with a short
// idle timeout: if the upstream closes an idle connection just as a request uses
// it, the outcome of that request is unknown, and unlike an idempotent one it
// can't be retried. A new connection for each would cost about 1 ms per request.
func New(address netip.AddrPort, opts ...Option) *Client {
	c := &Client{address: address, maxResponse: defaultMaxResponse, nonIdempotentMaxIdle: defaultNonIdempotentMaxIdle, account: bounded.NewAccount(defaultLimits)}
	for _, opt := range opts {
		opt(c)
	}
	c.nonIdempotent = c.newTransport(c.nonIdempotentMaxIdle)
	c.idempotent = c.newTransport(idempotentMaxIdle)
	return c
}

func (c *Client) newTransport(maxIdle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         countingDial(c.account, (&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     maxIdle,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHead,
	}
}

// Refuses opens a connection to the upstream, and reports whether it was refused: no process listens at the address any more.
func (c *Client) Refuses(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *Client) transport(r *call.Request) *http.Transport {
	if r.Idempotent {
		return c.idempotent
	}
	return c.nonIdempotent
}

// Do runs the request once; with the token, the upstream can make sub-calls on the request's behalf.
func (c *Client) Do(ctx context.Context, r *call.Request, token string) call.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	tracker := &sendTracker{}
	req, err := c.build(tracker.trace(ctx), r, token, &nonRewindableBody{Reader: bytes.NewReader(r.Body)})
	if err != nil {
		return call.Refuse(call.BadRequest, 0)
	}
	res, err := c.transport(r).RoundTrip(req)
	if err != nil {
		return answerOfError(ctx, tracker, err)
	}
	defer func() { _ = res.Body.Close() }()
	head := tracker.takeHeadHold()
	if !isFinalResponse(res, r.ID) {
		head.Release()
		tracker.closeConn()
		return call.UnknownOutcome(call.AnswerLost)
	}
	return c.readResponse(ctx, r, res, head)
}

// isFinalResponse reports whether the response is final and doesn't bear the id of another request.
func isFinalResponse(res *http.Response, id string) bool {
	stated := res.Header.Get(HeaderRequestID)
	return res.StatusCode >= http.StatusOK && (stated == "" || stated == id)
}

func (c *Client) build(ctx context.Context, r *call.Request, token string, body *nonRewindableBody) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address.String()+r.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "upstream: build request")
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderOrganisation, r.Organisation)
	req.Header.Set(HeaderOperation, r.Operation)
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderToken, token)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(r.Remaining(time.Now()).Milliseconds(), 10))
	return req, nil
}

// answerOfError converts a transport error: the request counts as not run only if
// it is certain that no byte of it was sent to the upstream. That the caller left is told by the context: the error may be
// the cause of the context's end.
func answerOfError(ctx context.Context, tracker *sendTracker, err error) call.Answer {
	notSent := tracker.sealUnsent()
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	var opErr *net.OpError
	switch {
	case notSent && cancelled:
		return call.Refuse(call.Cancelled, 0)
	case notSent && errors.Is(err, context.DeadlineExceeded):
		return call.Refuse(call.DeadlineTooNear, 0)
	case notSent && (tracker.hasConn() || errors.As(err, &opErr)):
		return call.Refuse(call.NoUpstream, unreachableRetryAfter)
	case notSent:
		return call.Refuse(call.BadRequest, 0)
	case cancelled:
		return call.UnknownOutcome(call.Cancelled)
	default:
		return call.UnknownOutcome(call.AnswerLost)
	}
}

// unreachableRetryAfter is the retry delay that a caller is given when the upstream could not be reached.
const unreachableRetryAfter = time.Second

// readResponse reads the response, for whose head the memory is held.
func (c *Client) readResponse(ctx context.Context, r *call.Request, res *http.Response, head *bounded.Hold) call.Answer {
	length := res.ContentLength
	if res.Request.Method == http.MethodHead {
		length = 0
	}
	body, hold, err := c.account.ReadBody(ctx, res.Body, bounded.Source{
		Purpose: bounded.InstanceResponse, To: r.Receiver, Length: length, MaxLength: c.maxResponse,
	})
	hold = hold.Join(head)
	if err == nil {
		err = responsehead.CheckTrailer(res)
	}
	if err != nil {
		hold.Release()
		return call.UnknownOutcome(call.AnswerLost)
	}
	answer := answerOf(res, body)
	if answer.Outcome != call.Whole || hold == nil {
		hold.Release()
		return answer
	}
	answer.Held = hold
	return answer
}

// answerOf returns the answer that a response with its body is.
func answerOf(res *http.Response, body []byte) call.Answer {
	if res.ContentLength >= 0 && int64(len(body)) != res.ContentLength && res.Request.Method != http.MethodHead {
		return call.UnknownOutcome(call.AnswerLost)
	}
	// A response that ends with its connection looks the same if the upstream
	// crashes while sending it, so only one with a length or in chunks counts as complete.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead {
		return call.UnknownOutcome(call.AnswerLost)
	}
	if res.Header.Get(HeaderOutcome) == call.NotRun.String() {
		return call.Refuse(call.UpstreamShed, retryAfter(res.Header))
	}
	return call.Answer{Outcome: call.Whole, Status: res.StatusCode, Header: res.Header, Body: body}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// nonRewindableBody is a body that the transport can't rewind, so that it never retries a
// request by itself. Otherwise the transport would retry a request whose
// reused connection fails, and the request could run twice unnoticed.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer; there is nothing to release.
func (b *nonRewindableBody) Close() error { return nil }
