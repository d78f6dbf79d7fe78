package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
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
	transport *http.Transport
	maxAnswer int64
}

const (
	dialTimeout   = 500 * time.Millisecond
	idleConns     = 512
	idleTime      = 30 * time.Second
	defaultAnswer = 64 << 20
)

// Option sets one property of a client.
type Option func(*Client)

// WithMaxAnswer bounds one answer's body in bytes.
func WithMaxAnswer(bytes int64) Option { return func(c *Client) { c.maxAnswer = bytes } }

// New returns a client for the upstream at the address.
func New(address netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		address:   address,
		maxAnswer: defaultAnswer,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleTime,
			DisableCompression:  true,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do runs the request once; token lets the upstream make calls of its own on the request's behalf.
func (c *Client) Do(ctx context.Context, r *call.Request, token string) call.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	body := &once{Reader: bytes.NewReader(r.Body)}
	out, err := c.build(ctx, r, token, body)
	if err != nil {
		return call.Refuse(call.BadRequest, 0)
	}
	res, err := c.transport.RoundTrip(out)
	if err != nil {
		return c.failed(body, err)
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

// failed tells what a transport error says of the request. Only a connection
// that could not be opened proves that the upstream never saw it.
func (c *Client) failed(body *once, err error) call.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !body.started.Load() {
		return call.Refuse(call.NoUpstream, 0)
	}
	if errors.Is(err, context.Canceled) {
		return call.Lose(call.Cancelled)
	}
	return call.Lose(call.AnswerLost)
}

func (c *Client) read(res *http.Response) call.Answer {
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxAnswer+1))
	if err != nil || int64(len(body)) > c.maxAnswer {
		return call.Lose(call.AnswerLost)
	}
	if res.ContentLength >= 0 && int64(len(body)) != res.ContentLength && res.Request.Method != http.MethodHead {
		return call.Lose(call.AnswerLost)
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
type once struct {
	io.Reader
	started atomic.Bool
}

// Read marks the request as begun.
func (o *once) Read(p []byte) (int, error) {
	o.started.Store(true)
	return o.Reader.Read(p)
}

// Close does nothing.
func (o *once) Close() error { return nil }
