package httpd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/loops"
)

// Server is one HTTP listener.
type Server struct {
	engine  *nbhttp.Engine
	address netip.AddrPort
	// configured holds the bounds that New was given, bounds those in force.
	configured Bounds
	bounds     atomic.Pointer[Bounds]
	maxConns   int
	// account counts the memory of requests, unsent the bytes of all responses that wait in the connections' queues.
	account  *bounded.Account
	unsent   atomic.Int64
	refuser  Refuser
	closing  func() bool
	guards   sync.Map
	listener *listener
	workers  loops.Workers
}

// Option sets one property of a server.
type Option func(*Server)

const (
	defaultBodyBytes = 64 << 20
	defaultMaxConns  = 10_000
	defaultHeldBytes = 256 << 20
	defaultHeadBytes = 32 << 10
	defaultHeadTime  = 5 * time.Second
	keepAliveTime    = 2 * time.Minute
	pollerCount      = 2
)

// WithBodyBound limits the size of a request's body, in bytes.
func WithBodyBound(bytes int) Option { return func(s *Server) { s.configured.BodyBytes = bytes } }

// WithMaxConns limits the number of open connections.
func WithMaxConns(count int) Option { return func(s *Server) { s.maxConns = count } }

// WithAccount sets the account of the memory that requests take.
func WithAccount(a *bounded.Account) Option { return func(s *Server) { s.account = a } }

// WithHeldBytes gives the server an account of its own that limits the requests that are arriving or being handled, in bytes: small ones together, and
// large ones together.
func WithHeldBytes(bytes int) Option {
	return WithAccount(bounded.NewAccount(bounded.Limits{Total: int64(bytes), Each: int64(bytes), Small: int64(bytes)}))
}

// WithHead limits the size of a request's head, in bytes, and the time that it takes to arrive.
func WithHead(bytes int, limit time.Duration) Option {
	return func(s *Server) { s.configured.HeadBytes, s.configured.HeadTime = bytes, limit }
}

// WithRefuser sets the function that builds the response to a request with a fault.
func WithRefuser(r Refuser) Option { return func(s *Server) { s.refuser = r } }

// WithClosing sets the function that reports whether connections should be closed after the next response, so that callers connect elsewhere.
func WithClosing(closing func() bool) Option { return func(s *Server) { s.closing = closing } }

// New returns a server for the address; each request's context is cancelled when its caller disconnects.
//
// A caller that closes only its sending side counts as disconnected, and gets no more responses: it can't be told from one
// that has ended, for which no work should go on.
func New(address netip.AddrPort, handler http.Handler, opts ...Option) *Server {
	s := &Server{
		address:    address,
		configured: Bounds{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime, BodyBytes: defaultBodyBytes},
		maxConns:   defaultMaxConns,
		refuser:    plainRefusal,
		closing:    func() bool { return false },
	}
	WithHeldBytes(defaultHeldBytes)(s)
	for _, opt := range opts {
		opt(s)
	}
	s.SetBounds(Bounds{})
	logging.SetLevel(logging.LevelNone)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "httpd",
		Network:         "tcp",
		Addrs:           []string{address.String()},
		Listen:          func(string, string) (net.Listener, error) { return s.listener, nil },
		MaxLoad:         s.maxConns,
		MaxHTTPBodySize: s.configured.BodyBytes,
		ReadLimit:       s.configured.BodyBytes + readSlack,
		KeepaliveTime:   keepAliveTime,
		NPoller:         pollerCount,
		Handler:         s.wrap(handler),
		// A handler waits for its upstream, so each runs on its own goroutine,
		// which is reused afterwards; admission control limits their number.
		ServerExecutor: s.workers.Go,
		// Without this each engine allocates a queue of half a megabyte for client calls, which are not used.
		SupportServerOnly: true,
	})
	s.engine.OnRequest = announce
	s.engine.Engine.OnOpen(s.onOpen)
	s.engine.OnWrittenSize(s.onSent)
	s.engine.OnClose(s.onClose)
	return s
}

// onOpen installs a guard between a new connection and its parser.
func (s *Server) onOpen(c *nbio.Conn) {
	if p, ok := c.Session().(*nbhttp.Parser); ok {
		s.guards.Store(c, newGuard(s, c, p))
		c.OnData(s.onData)
	}
}

// guard returns the guard of a connection, or false.
func (s *Server) guard(c *nbio.Conn) (*guard, bool) {
	g, ok := s.guards.Load(c)
	if !ok {
		return nil, false
	}
	return g.(*guard), true
}

// onData parses the next bytes of a connection.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	if g, ok := s.guard(c); ok {
		g.parse(data)
		loops.Yield()
	}
}

// announce tells the guard of a connection that a request is complete.
func announce(w http.ResponseWriter, r *http.Request) {
	if g, ok := guardOf(w); ok {
		g.announce(r)
	}
}

// onSent records that bytes have left the connection's send queue.
func (s *Server) onSent(c *nbio.Conn, _ []byte, bytes int) {
	if g, ok := s.guard(c); ok {
		g.pipeline.recordSent(bytes)
	}
}

// onClose ends the requests of a closed connection.
func (s *Server) onClose(c net.Conn, _ error) {
	conn, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	if g, ok := s.guard(conn); ok {
		s.guards.Delete(conn)
		g.close()
	}
}

// readSlack is the space for a request's head in addition to its body, in bytes.
const readSlack = 1 << 20

// Start listens and serves until Stop. It returns once every event loop runs,
// since an earlier stop would be lost: see loops.Engine. For the same reason the
// engine starts with an open port: one that can't listen stops at once.
func (s *Server) Start() error {
	l, err := listen("tcp", s.address.String())
	if err != nil {
		return errors.Wrapf(err, "http: listen on %s", s.address)
	}
	s.listener = l
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return errors.Wrapf(err, "http: start on %s", s.address)
	}
	return loops.Await(s.engine.Engine, pollerCount)
}

// Stop closes the listener, which takes up to MaxBacklogTime, and waits until no connection is left, closing idle
// ones; after ctx has ended it takes at most StopSlack more.
//
// Closing all connections at once would interrupt requests that are still arriving, responses that
// are still being sent, and requests that a caller sends on a connection that it takes to be open.
func (s *Server) Stop(ctx context.Context) error {
	backlogErr := s.listener.closePort(ctx)
	// The connection accepted last may have no guard yet, and its request may still be arriving.
	earliest := time.Now().Add(minStopTime)
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && (!s.closeIdle(time.Now()) || time.Now().Before(earliest)) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	close(s.listener.engineStopping)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	defer s.workers.Close()
	if err := s.engine.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(err, "http: stop")
	}
	return backlogErr
}

const (
	stopPollInterval = 20 * time.Millisecond
	// MaxBacklogTime limits the time to accept the connections in the backlog.
	MaxBacklogTime = 400 * time.Millisecond
	// shutdownTimeout limits the time of the engine's shutdown.
	shutdownTimeout = 250 * time.Millisecond
	// StopSlack is how much longer than its context Stop may take.
	StopSlack = minBacklogTime + shutdownTimeout
	// minBacklogTime is the time for handshakes in progress to complete: many times the one-way latency across a region.
	minBacklogTime = 50 * time.Millisecond
	// minStopTime is how long Stop waits at least: longer than the connection accepted last needs to get its guard.
	minStopTime = 500 * time.Millisecond
	// minIdleTime is how long a connection must be idle before it is closed: longer than active callers leave it idle,
	// so that few requests meet a closing connection.
	minIdleTime = 2 * time.Second
)

// closeIdle starts to close all idle connections and reports whether no connection is open.
func (s *Server) closeIdle(now time.Time) bool {
	allClosed := true
	s.guards.Range(func(_, value any) bool {
		value.(*guard).closeIfIdle(now, minIdleTime)
		allClosed = false
		return true
	})
	return allClosed
}
