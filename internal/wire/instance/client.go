package instance

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

var (
	// ErrUnsent means that no byte of the request was sent, so that it did not run.
	ErrUnsent = errors.New("instance: not sent")
	// ErrLost means that the request was sent, at least in part, and no complete response arrived.
	ErrLost = errors.New("instance: response lost")
)

// Request is one request to the instance.
type Request struct {
	Method string
	// Target is the request target (path and query) as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the time after which the request fails.
	Deadline time.Time
	// Idempotent requests may be retried: such a request may use a connection that has been idle for longer.
	Idempotent bool
	// ID is the request's id. Attempts that may get each other's responses have the same one.
	ID string
	// IDOf returns the id that a response's header states, empty if none. A response with another id is skipped; one that may also
	// belong to an earlier request on the connection is not taken.
	IDOf func(http.Header) string
	// Observe, if not nil, receives status and header of the response that belongs to the request, before its body is read.
	Observe func(status int, header http.Header)
	// To is the host that the response goes to, invalid for this one.
	To netip.Addr
}

// Response is a complete response of the instance.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Hold is the memory that is held for the body and for a large head, to be released when they aren't used any more.
	Hold *bounded.Hold
}

// Client sends requests to one instance over pooled connections.
type Client struct {
	address     netip.AddrPort
	maxResponse int64
	// account counts the memory of responses.
	account *bounded.Account
	pool    pool
	opened  atomic.Uint64
}

// Option configures a client.
type Option func(*Client)

// WithMaxResponse bounds the size of a response body in bytes.
func WithMaxResponse(bytes int64) Option { return func(c *Client) { c.maxResponse = bytes } }

// WithAccount sets the account of the memory that responses take.
func WithAccount(a *bounded.Account) Option { return func(c *Client) { c.account = a } }

// WithNonIdempotentMaxIdle sets how long a connection may be idle before a request that is not idempotent opens a new one instead.
func WithNonIdempotentMaxIdle(d time.Duration) Option {
	return func(c *Client) { c.pool.nonIdempotentMaxIdle = d }
}

const (
	// dialTimeout bounds opening a connection; the instance is on the same host.
	dialTimeout = 500 * time.Millisecond
	// defaultMaxResponse bounds a response body in bytes, since all of it is buffered before any of it is forwarded.
	defaultMaxResponse = 64 << 20
	// receiveBuffer is the size in bytes of the kernel's buffer for a response that isn't read while there is no memory for it. The kernel's own choice
	// grows to megabytes for each connection, which count for the memory of the process.
	receiveBuffer = 64 << 10
	// maxHead bounds the head of a response in bytes, with the interim responses before it. Callers read no larger ones.
	maxHead = 256 << 10
	// maxStrayResponses is how many responses to earlier requests are skipped before the request fails.
	maxStrayResponses = 2
	// concurrentWriteSize is the size in bytes above which a body is written while the response is read: a
	// smaller one fits into the kernel's buffers whether or not the instance reads it.
	concurrentWriteSize = 16 << 10
)

// defaultLimits bound the memory of the responses of a client without an account.
var defaultLimits = bounded.Limits{Total: 72 << 20, Each: 72 << 20, Small: 16 << 20}

// New returns a client for the instance at the address.
func New(address netip.AddrPort, opts ...Option) *Client {
	c := &Client{address: address, maxResponse: defaultMaxResponse, account: bounded.NewAccount(defaultLimits), pool: newPool()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Opened returns how many connections this client has tried to open.
func (c *Client) Opened() uint64 { return c.opened.Load() }

// Sweep closes connections that have been idle for too long; it must be called periodically.
func (c *Client) Sweep(now time.Time) { c.pool.sweep(now) }

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Do sends the request once and returns the complete response; the error is ErrUnsent or ErrLost.
func (c *Client) Do(ctx context.Context, r *Request) (Response, error) {
	req, err := r.httpRequest()
	if err != nil {
		return Response{}, errors.Wrapf(ErrUnsent, "build request: %v", err)
	}
	cn, err := c.connection(ctx, r)
	if err != nil {
		return Response{}, err
	}
	res, err := c.exchange(ctx, cn, r, req)
	if err != nil {
		cn.close()
		return Response{}, err
	}
	if !cn.reusable {
		cn.close()
		return res, nil
	}
	// The deadline was the request's; a connection past it can't be looked at before its next use.
	_ = cn.SetDeadline(time.Time{})
	cn.reader.shrink()
	c.pool.put(cn)
	return res, nil
}

func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	if cn := c.pool.get(r, time.Now()); cn != nil {
		return cn, nil
	}
	c.opened.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout, Deadline: r.Deadline, KeepAliveConfig: keepAlive}
	tcpConn, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "connect: %v", err)
	}
	if conn, ok := tcpConn.(*net.TCPConn); ok {
		_ = conn.SetReadBuffer(receiveBuffer)
	}
	cn := newConn(tcpConn)
	cn.reader.account = c.account
	return cn, nil
}

// keepAlive detects dead idle connections: the next request on one would wait for a response until its deadline.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// httpRequest returns the request in the form that net/http writes.
func (r *Request) httpRequest() (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target}
	if !strings.HasPrefix(r.Target, "/") || strings.HasPrefix(r.Target, "//") {
		parsed, err := url.ParseRequestURI(r.Target)
		if err != nil {
			return nil, err
		}
		target = parsed
		target.Scheme, target.Host = "http", r.Host
	}
	req := &http.Request{Method: r.Method, URL: target, Host: r.Host, Header: r.Header, ContentLength: int64(len(r.Body))}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Without a nil entry, net/http would send its own User-Agent.
		r.Header["User-Agent"] = nil
	}
	return req, nil
}

// exchange sends the request and reads its response on a connection that no other request uses.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request, req *http.Request) (Response, error) {
	_ = cn.SetDeadline(r.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	cn.send(req, len(r.Body) > concurrentWriteSize)
	res, err := c.readResponse(ctx, cn, r, req)
	if err != nil {
		if unsent := cn.unsentError(); unsent != nil {
			return Response{}, unsent
		}
		return Response{}, &lostError{err}
	}
	cn.used.add(r.ID)
	if !stop() || !cn.sent.isWhole() {
		cn.reusable = false
	}
	return res, nil
}

// readResponse reads the response that belongs to the request, skipping responses to other requests.
func (c *Client) readResponse(ctx context.Context, cn *conn, r *Request, req *http.Request) (Response, error) {
	for range maxStrayResponses + 1 {
		res, matches, err := c.readNext(ctx, cn, r, req)
		if err != nil || matches {
			return res, err
		}
		res.Hold.Release()
		if !cn.reusable {
			return Response{}, errors.New("the connection closes after a response to another request")
		}
	}
	return Response{}, errors.New("received only responses to other requests")
}

// readNext reads the next response, and reports whether it belongs to the request.
func (c *Client) readNext(ctx context.Context, cn *conn, r *Request, req *http.Request) (res Response, matches bool, err error) {
	header, headHold, err := cn.reader.readHeader(req)
	if err != nil {
		return Response{}, false, err
	}
	id := r.IDOf(header.Header)
	matches = id == "" || id == r.ID
	if matches && cn.used.mayInclude(id) {
		headHold.Release()
		return Response{}, false, errors.New("the response may belong to an earlier request")
	}
	if matches && r.Observe != nil {
		r.Observe(header.StatusCode, header.Header)
	}
	res, err = c.readBody(ctx, cn, r, header)
	if err != nil {
		headHold.Release()
		return Response{}, false, err
	}
	res.Hold = res.Hold.Join(headHold)
	return res, matches, nil
}

// readAll reads the body as there is memory for it, until the request's deadline.
func (c *Client) readAll(ctx context.Context, r *Request, res *http.Response) ([]byte, *bounded.Hold, error) {
	if res.Request != nil && res.Request.Method == http.MethodHead {
		return nil, nil, nil
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	return c.account.ReadBody(ctx, res.Body, bounded.Source{
		Purpose: bounded.InstanceResponse, To: r.To, Length: res.ContentLength, MaxLength: c.maxResponse,
	})
}

// readBody reads the whole body. One without a length ends with the connection: it is complete only if the instance
// closed the connection normally; a reset is an error, whether reading or writing reports it. A body that isn't read to its end isn't closed, since
// that would read on: the connection is.
func (c *Client) readBody(ctx context.Context, cn *conn, r *Request, res *http.Response) (Response, error) {
	cn.reusable = !res.Close
	if res.StatusCode == http.StatusSwitchingProtocols {
		return Response{}, errors.New("status 101 (switching protocols) is not supported")
	}
	raw, hold, err := c.readAll(ctx, r, res)
	if err == nil && endsWithConnection(res) {
		err = cn.sent.await()
	}
	if err == nil {
		err = responsehead.CheckTrailer(res)
	}
	if err != nil {
		hold.Release()
		return Response{}, err
	}
	cn.recordIdleTimeout(res.Header, time.Now())
	return Response{Status: res.StatusCode, Header: res.Header, Body: raw, Hold: hold}, nil
}

// endsWithConnection reports whether only the end of the connection tells where the response's body ends.
func endsWithConnection(res *http.Response) bool {
	return res.Body != http.NoBody && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}
