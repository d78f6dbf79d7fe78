package loops

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// Handlers are the functions that an engine calls for its connections.
type Handlers struct {
	Open  func(c *nbio.Conn)
	Data  func(c *nbio.Conn, data []byte)
	Close func(c *nbio.Conn, err error)
}

// Engine is an nbio engine whose Start returns once its acceptor and every event loop run.
//
// Each loop of nbio 1.6.8 clears its stop flag when its goroutine starts. An
// earlier Stop is lost: it waits forever, the loop spins on its wake-up event,
// and on a busy machine the process uses two cores instead of ending. So every
// loop has to answer a probe before Start returns.
type Engine struct {
	*nbio.Engine
	loopCount int
	accepting chan struct{}
}

// New returns an engine with the given configuration; it serves from Start to Stop.
func New(config nbio.Config, h Handlers) *Engine {
	e := &Engine{loopCount: config.NPoller, accepting: make(chan struct{})}
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

// Start listens and serves; the error is the reason why it can't listen on the address or reach an event loop.
func (e *Engine) Start() error {
	if err := e.Engine.Start(); err != nil {
		return err
	}
	<-e.accepting
	return Await(e.Engine, e.loopCount)
}

// listener closes accepting when the acceptor first calls Accept.
type listener struct {
	net.Listener
	accepting chan struct{}
	once      sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.accepting) })
	return l.Listener.Accept()
}
