package loops

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
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
			p.answer()
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
	return e.awaitLoops()
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

// probe marks a connection of the process with itself that shows that a loop runs.
type probe struct {
	once     sync.Once
	answered chan struct{}
}

func (p *probe) answer() { p.once.Do(func() { close(p.answered) }) }

func isProbe(c *nbio.Conn) bool {
	_, ok := c.Session().(*probe)
	return ok
}

// mostProbes bounds the connections opened to reach every loop: nbio picks the
// loop by the file descriptor, and neighbouring descriptors reach neighbouring loops.
const mostProbes = 256

func (e *Engine) awaitLoops() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "loops: listen")
	}
	defer func() { _ = l.Close() }()
	reached := map[int]bool{}
	for tries := 0; len(reached) < e.loops; tries++ {
		if tries == mostProbes {
			return errors.Errorf("loops: %d of %d reached", len(reached), e.loops)
		}
		far, near, err := pair(l)
		if err != nil {
			return err
		}
		// Open until the end, so that the next pair has other descriptors.
		defer func() { _ = far.Close() }()
		if reached[near.Hash()%e.loops] {
			// Closed at once: with both ends kept, every next pair would be two descriptors on and reach this loop again.
			_ = near.Close()
			continue
		}
		reached[near.Hash()%e.loops] = true
		if err := e.await(far, near); err != nil {
			return err
		}
	}
	return nil
}

func pair(l net.Listener) (far net.Conn, near *nbio.Conn, err error) {
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "loops: dial")
	}
	accepted, err := l.Accept()
	if err != nil {
		_ = far.Close()
		return nil, nil, errors.Wrap(err, "loops: accept")
	}
	near, err = nbio.NBConn(accepted)
	if err != nil {
		_ = far.Close()
		return nil, nil, errors.Wrap(err, "loops: probe")
	}
	return far, near, nil
}

func (e *Engine) await(far net.Conn, near *nbio.Conn) error {
	p := &probe{answered: make(chan struct{})}
	near.SetSession(p)
	if _, err := e.AddConn(near); err != nil {
		return errors.Wrap(err, "loops: add")
	}
	if _, err := far.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "loops: write")
	}
	<-p.answered
	return nil
}
