package loops

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// Handlers are what an engine's loops call for its connections.
type Handlers struct {
	Open  func(c *nbio.Conn)
	Data  func(c *nbio.Conn, data []byte)
	Close func(c *nbio.Conn, err error)
}

// Engine is an nbio engine whose Start returns once its acceptor and every event loop run.
//
// Each loop of nbio 1.6.8 clears its stop mark when its goroutine begins. A
// Stop that comes before that is forgotten: it waits forever, the loop spins
// on its wake-up event, and a busy machine shows two cores burnt by a process
// that should have ended. So every loop has to answer once before Start returns.
type Engine struct {
	*nbio.Engine
	loops     int
	accepting chan struct{}
}

// New returns an engine with the configuration that serves from Start to Stop.
func New(config nbio.Config, h Handlers) *Engine {
	e := &Engine{loops: config.NPoller, accepting: make(chan struct{})}
	config.Listen = func(network, address string) (net.Listener, error) {
		l, err := net.Listen(network, address)
		return &listener{Listener: l, accepting: e.accepting}, err
	}
	e.Engine = nbio.NewEngine(config)
	e.OnOpen(func(c *nbio.Conn) {
		if !isProbe(c) {
			h.Open(c)
		}
	})
	e.OnData(func(c *nbio.Conn, data []byte) {
		if p, ok := c.Session().(*probe); ok {
			p.answer(c, data)
			return
		}
		h.Data(c, data)
	})
	e.OnClose(func(c *nbio.Conn, err error) {
		if !isProbe(c) {
			h.Close(c, err)
		}
	})
	return e
}

// Start listens and serves; the error tells why the address can't be had.
func (e *Engine) Start() error {
	if err := e.Engine.Start(); err != nil {
		return err
	}
	<-e.accepting
	return Await(e.Engine, e.loops)
}

// listener tells when the acceptor's loop has begun.
type listener struct {
	net.Listener
	accepting chan struct{}
	once      sync.Once
}

// Accept waits for the next connection; the error is the listener's.
func (l *listener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.accepting) })
	return l.Listener.Accept()
}
