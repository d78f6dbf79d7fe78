package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Names of the headers between daemon and upstream.
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
	address   netip.AddrPort
	once      *http.Transport
	repeated  *http.Transport
	onceIdle  time.Duration
	maxAnswer int64
}

const (
	dialTimeout = 500 * time.Millisecond
	idleConns   = 512
	idleTime    = 30 * time.Second
	// defaultOnceIdle is below the idle timeouts that upstreams commonly have (2 s and more).
	defaultOnceIdle = time.Second
	defaultAnswer   = 64 << 20
)

// Option sets one property of a client.
type Option func(*Client)

// WithMaxAnswer bounds one answer's body in bytes.
func WithMaxAnswer(bytes int64) Option { return func(c *Client) { c.maxAnswer = bytes } }

// WithOnceIdle sets how long a connection may be idle before a request that is
// not idempotent opens a new one instead; it belongs below the upstream's own idle timeout.
func WithOnceIdle(d time.Duration) Option { return func(c *Client) { c.onceIdle = d } }

// New returns a client for the upstream at the address.
//
// Requests that may not be repeated have connections of their own with a short
// idle time: an upstream that closes an idle connection just as a request takes
// it leaves that request's outcome unknown, and unlike an idempotent one it
// can't be sent again. A connection for each would cost about 1 ms a request.
func New(address netip.AddrPort, opts ...Option) *Client {
	c := &Client{address: address, maxAnswer: defaultAnswer, onceIdle: defaultOnceIdle}
	for _, opt := range opts {
		opt(c)
	}
	c.once = newTransport(c.onceIdle)
	c.repeated = newTransport(idleTime)
	return c
}

func newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         counted((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

func (c *Client) transport(r *call.Request) *http.Transport {
	if r.Idempotent {
		return c.repeated
	}
	return c.once
}

// Do runs the request once; token lets the upstream make calls of its own on the request's behalf.
func (c *Client) Do(ctx context.Context, r *call.Request, token string) call.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	sent := &proof{}
	out, err := c.build(sent.trace(ctx), r, token, &once{Reader: bytes.NewReader(r.Body)})
	if err != nil {
		return call.Refuse(call.BadRequest, 0)
	}
	res, err := c.transport(r).RoundTrip(out)
	if err != nil {
		return failed(sent, err)
	}
	defer func() { _ = res.Body.Close() }()
	return c.read(res)
}

func (c *Client) build(ctx context.Context, r *call.Request, token string, body *once) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address.String()+r.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "upstream: build request")
	}
	out.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		out.Header[name] = values
	}
	out.Header.Set(HeaderOrganisation, r.Organisation)
	out.Header.Set(HeaderOperation, r.Operation)
	out.Header.Set(HeaderRequestID, r.ID)
	out.Header.Set(HeaderToken, token)
	out.Header.Set(HeaderTimeout, strconv.FormatInt(r.Remaining(time.Now()).Milliseconds(), 10))
	return out, nil
}

// failed tells what a transport error says of the request: not run only where
// it is proved that no byte of it reached the upstream.
func failed(sent *proof, err error) call.Answer {
	unsent := sent.unsent()
	var op *net.OpError
	switch {
	case unsent && errors.Is(err, context.Canceled):
		return call.Refuse(call.Cancelled, 0)
	case unsent && errors.Is(err, context.DeadlineExceeded):
		return call.Refuse(call.DeadlineTooNear, 0)
	case unsent && (sent.connected() || errors.As(err, &op)):
		return call.Refuse(call.NoUpstream, comeBack)
	case unsent:
		return call.Refuse(call.BadRequest, 0)
	case errors.Is(err, context.Canceled):
		return call.UnknownOutcome(call.Cancelled)
	default:
		return call.UnknownOutcome(call.AnswerLost)
	}
}

// comeBack is when to come back after an upstream that could not be reached.
const comeBack = time.Second

func (c *Client) read(res *http.Response) call.Answer {
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxAnswer+1))
	if err != nil || int64(len(body)) > c.maxAnswer {
		return call.UnknownOutcome(call.AnswerLost)
	}
	if res.ContentLength >= 0 && int64(len(body)) != res.ContentLength && res.Request.Method != http.MethodHead {
		return call.UnknownOutcome(call.AnswerLost)
	}
	// An answer that ends with its connection looks the same when the upstream
	// dies in the middle of it, so only one with a length or chunks is whole.
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

// once is a body that the transport can't rewind, so that it never sends a
// request again by itself. Without it, the transport repeats a request whose
// reused connection fails: a dispatch would run twice and nobody would know.
type once struct{ io.Reader }

// Close does nothing.
func (o *once) Close() error { return nil }
