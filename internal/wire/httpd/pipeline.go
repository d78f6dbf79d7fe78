package httpd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxRunning is the maximum number of requests of one connection that run at the same time.
	maxRunning = 16
	// maxPending is the maximum number of requests of one connection without a complete response; further ones are refused.
	maxPending = 256
	// maxUnsentBytes limits the bytes of responses that the caller hasn't read: above it, none of its requests is started.
	maxUnsentBytes = 1 << 20
	// maxUnsentOfAll is the same for all connections of a server together.
	maxUnsentOfAll = 16 << 20
	// maxQueuedBytes limits the bytes of one response in the send queue; the rest stays where it is until these are sent.
	maxQueuedBytes = 128 << 10
	// maxWrite is the size in bytes of the parts in which a response is written.
	maxWrite = 64 << 10
)

var (
	// ErrDisconnected is the cause of the end of a request's context when its caller has disconnected.
	ErrDisconnected = errors.New("http: the caller disconnected")
	// ErrAnswered is the cause of the end of a request's context when its response has been written.
	ErrAnswered = errors.New("http: the response was written")
)

// pipeline holds the requests of one connection that have been received and not answered, oldest first.
//
// With HTTP pipelining callers send requests without waiting for earlier responses. The requests run concurrently, so that
// a quick one doesn't spend its deadline behind a slow one; the responses are sent in the order of the requests.
type pipeline struct {
	// spawn runs a function on another goroutine.
	spawn func(func())
	// unsentBytes counts the bytes of responses in the send queue, unsentOfAll those of all connections of the server.
	unsentBytes atomic.Int64
	unsentOfAll *atomic.Int64
	// sent wakes the response that waits until less is unsent, gone is closed when the caller has disconnected.
	sent chan struct{}
	gone chan struct{}

	mu      sync.Mutex
	pending []*exchange
	running int
	closed  bool
	// idleSince is when the last request was finished, or when the connection was opened.
	idleSince time.Time
}

// exchange is one request of a connection with its response.
type exchange struct {
	// guard is that of the connection; a refusal has none.
	guard  *guard
	ctx    context.Context
	cancel context.CancelCauseFunc
	// work handles the request and writes its response.
	work    func()
	started bool
	// turn is closed when all earlier responses are written.
	turn chan struct{}
	// writeRefusal, if not nil, writes a refusal; work isn't called then.
	writeRefusal func()
}

// arrivalKey is the context key of a request's arrival time.
type arrivalKey struct{}

// Arrived returns when the last byte of the context's request was read; the request may have waited since then for others of its connection.
func Arrived(ctx context.Context) time.Time {
	if arrival, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return arrival
	}
	return time.Now()
}

// exchangeKey is the context key of a request's exchange.
type exchangeKey struct{}

func newExchange(g *guard) *exchange {
	e := &exchange{guard: g, turn: make(chan struct{})}
	ctx := context.WithValue(context.Background(), arrivalKey{}, time.Now())
	e.ctx, e.cancel = context.WithCancelCause(context.WithValue(ctx, exchangeKey{}, e))
	return e
}

// exchangeOf returns the exchange of the context's request, or false.
func exchangeOf(ctx context.Context) (*exchange, bool) {
	e, ok := ctx.Value(exchangeKey{}).(*exchange)
	return e, ok
}

// enqueue adds a request, and starts it if the limits allow; false means that the connection is closed.
func (p *pipeline) enqueue(e *exchange) bool {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		e.cancel(ErrDisconnected)
		return false
	}
	p.pending = append(p.pending, e)
	p.advance()
	return true
}

// advance lets the oldest request write its response and starts those that the limits allow. It must be called with mu locked, and unlocks it.
func (p *pipeline) advance() {
	var writeRefusal func()
	if len(p.pending) > 0 {
		writeRefusal = p.pending[0].grantTurn()
	}
	started := p.takeStartable()
	p.mu.Unlock()
	if writeRefusal != nil {
		writeRefusal()
	}
	for _, e := range started {
		p.spawn(func() {
			e.work()
			p.finish(e)
		})
	}
}

// grantTurn lets the exchange write its response; it returns writeRefusal the first time.
func (e *exchange) grantTurn() (writeRefusal func()) {
	select {
	case <-e.turn:
		return nil
	default:
		close(e.turn)
		return e.writeRefusal
	}
}

// takeStartable marks the requests that the limits allow as started, and returns them.
func (p *pipeline) takeStartable() []*exchange {
	var started []*exchange
	for _, e := range p.pending {
		if p.running >= maxRunning || p.unsentBytes.Load() > p.maxUnsent() {
			break
		}
		if e.started || e.writeRefusal != nil {
			continue
		}
		e.started = true
		p.running++
		started = append(started, e)
	}
	return started
}

// maxUnsent returns up to how many unsent bytes requests of the connection are started: while all connections together have too many, only those
// whose callers have read everything go on.
func (p *pipeline) maxUnsent() int64 {
	if p.unsentOfAll.Load() > maxUnsentOfAll {
		return 0
	}
	return maxUnsentBytes
}

// finish removes an exchange whose response is written; it is the oldest unless the connection is closed.
func (p *pipeline) finish(e *exchange) {
	e.cancel(ErrAnswered)
	p.mu.Lock()
	p.running--
	for i, other := range p.pending {
		if other == e {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			break
		}
	}
	p.idleSince = time.Now()
	p.advance()
}

// isLast reports whether no request is pending after the exchange.
func (p *pipeline) isLast(e *exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0 && p.pending[len(p.pending)-1] == e
}

// len returns the number of pending requests.
func (p *pipeline) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// idle returns since when no request is pending, or false if one is or a response is still being sent.
func (p *pipeline) idle() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleSince, len(p.pending) == 0 && p.unsentBytes.Load() <= 0
}

// close cancels all requests of a caller that has disconnected.
func (p *pipeline) close() {
	p.mu.Lock()
	p.closed = true
	for _, e := range p.pending {
		e.cancel(ErrDisconnected)
		if e.writeRefusal == nil {
			e.grantTurn()
		}
	}
	p.unsentOfAll.Add(-p.unsentBytes.Swap(0))
	close(p.gone)
	// Waiting requests are started too, since only the end of their handlers releases the bytes reserved for them.
	p.advance()
}

// recordSent records that bytes of responses have left the send queue, and starts requests that waited for that.
func (p *pipeline) recordSent(bytes int) {
	remaining := p.addUnsent(-int64(bytes))
	select {
	case p.sent <- struct{}{}:
	default:
	}
	isDrained := remaining <= maxUnsentBytes && remaining+int64(bytes) > maxUnsentBytes
	if isDrained || remaining <= 0 {
		p.spawn(func() {
			p.mu.Lock()
			p.advance()
		})
	}
}

// addUnsent counts bytes that were queued, or sent if below 0, and returns how many are unsent. Those of a closed connection don't count any more.
func (p *pipeline) addUnsent(bytes int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0
	}
	p.unsentOfAll.Add(bytes)
	return p.unsentBytes.Add(bytes)
}

// awaitSent waits until few bytes are left in the send queue. False means that the caller has disconnected, or hasn't read them in time.
func (p *pipeline) awaitSent(deadline time.Time) bool {
	if p.unsentBytes.Load() <= maxQueuedBytes {
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for p.unsentBytes.Load() > maxQueuedBytes {
		select {
		case <-p.sent:
		case <-p.gone:
			return false
		case <-timer.C:
			return false
		}
	}
	return true
}

// countingConn counts the bytes that are written to a connection and not sent yet.
type countingConn struct {
	net.Conn
	pipeline *pipeline
}

// Write counts the bytes and writes them to the connection.
func (c *countingConn) Write(p []byte) (int, error) {
	c.pipeline.addUnsent(int64(len(p)))
	return c.Conn.Write(p)
}
