package httpd

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// Server is one HTTP listener.
type Server struct {
	engine    *nbhttp.Engine
	address   netip.AddrPort
	bodyBound int
	maxConns  int
	watch     *hangups
}

// Option sets one property of a server.
type Option func(*Server)

const (
	defaultBodyBound = 64 << 20
	defaultMaxConns  = 10_000
	keepalive        = 2 * time.Minute
	pollers          = 2
)

// WithBodyBound bounds one request's body in bytes.
func WithBodyBound(bytes int) Option { return func(s *Server) { s.bodyBound = bytes } }

// WithMaxConns bounds the open connections.
func WithMaxConns(count int) Option { return func(s *Server) { s.maxConns = count } }

// New returns a server for the address; each request's context ends when its caller hangs up.
func New(address netip.AddrPort, handler http.Handler, opts ...Option) *Server {
	s := &Server{
		address:   address,
		bodyBound: defaultBodyBound,
		maxConns:  defaultMaxConns,
		watch:     newHangups(),
	}
	for _, opt := range opts {
		opt(s)
	}
	logging.SetLevel(logging.LevelNone)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "httpd",
		Network:         "tcp",
		Addrs:           []string{address.String()},
		MaxLoad:         s.maxConns,
		MaxHTTPBodySize: s.bodyBound,
		ReadLimit:       s.bodyBound + readSlack,
		KeepaliveTime:   keepalive,
		NPoller:         pollers,
		Handler:         s.watch.wrap(handler),
		// A handler waits for its upstream, so each runs on a goroutine of
		// its own; the admission bounds how many there are.
		ServerExecutor: func(f func()) { go f() },
	})
	return s
}

// readSlack is room for a request's head beside its body.
const readSlack = 1 << 20

// Start listens and serves until Stop.
func (s *Server) Start() error {
	go s.watch.run()
	return errors.Wrapf(s.engine.Start(), "http: listen on %s", s.address)
}

// Stop closes the listener and, when all answers are written or ctx ends, the connections.
func (s *Server) Stop(ctx context.Context) error {
	defer s.watch.stop()
	return s.engine.Shutdown(ctx)
}
