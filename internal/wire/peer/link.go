package peer

import (
	"context"
	"net/netip"
	"sync"

	"github.com/lesismal/nbio"
)

// link is one connection with the calls in flight on it, in both directions.
type link struct {
	node   *Node
	conn   *nbio.Conn
	remote netip.AddrPort
	dialed netip.AddrPort
	reader reader
	used   stamp

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan frame
	running map[uint64]context.CancelFunc
	broken  bool
}

func newLink(n *Node, c *nbio.Conn) *link {
	remote, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	return &link{
		node:    n,
		conn:    c,
		remote:  remote,
		reader:  reader{maxFrame: n.maxFrame},
		waiting: map[uint64]chan frame{},
		running: map[uint64]context.CancelFunc{},
	}
}

func (l *link) write(data []byte) error {
	n, err := l.conn.Write(data)
	l.node.sent.Add(uint64(max(n, 0)))
	return err
}

// expect registers a call and returns its id and where its answer arrives; false means the link is broken.
func (l *link) expect() (uint64, chan frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return 0, nil, false
	}
	l.nextID++
	answer := make(chan frame, 1)
	l.waiting[l.nextID] = answer
	return l.nextID, answer, true
}

// forget drops a call that nobody waits for any more, so that its late answer goes nowhere.
func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	l.mu.Unlock()
}

// take handles one frame from the other side.
func (l *link) take(f frame) {
	switch f.form {
	case formAnswer:
		l.answer(f)
	case formCancel:
		l.cancel(f.id)
	case formRequest, formOneWay:
		l.serve(f)
	}
}

func (l *link) answer(f frame) {
	l.mu.Lock()
	waiter, ok := l.waiting[f.id]
	delete(l.waiting, f.id)
	l.mu.Unlock()
	if ok {
		waiter <- f
	}
}

func (l *link) cancel(id uint64) {
	l.mu.Lock()
	stop, ok := l.running[id]
	l.mu.Unlock()
	if ok {
		stop()
	}
}

func (l *link) serve(f frame) {
	h, ok := l.node.handlers[f.kind]
	if !ok {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l.mu.Lock()
	if f.form == formRequest {
		l.running[f.id] = stop
	}
	l.mu.Unlock()
	go func() {
		defer stop()
		l.handle(ctx, h, f)
	}()
}

func (l *link) handle(ctx context.Context, h handler, f frame) {
	out, err := h(ctx, l.remote, f.payload)
	if f.form == formRequest {
		l.mu.Lock()
		delete(l.running, f.id)
		l.mu.Unlock()
	}
	if err != nil {
		l.node.logger(l.remote, err)
		_ = l.conn.CloseWithError(err)
		return
	}
	if f.form == formRequest {
		reply := frame{form: formAnswer, kind: f.kind, id: f.id, payload: out}
		_ = l.write(reply.encode())
	}
}

// fail ends every call in flight: their answers can't arrive any more, and work for a caller that is gone is stopped.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = true
	for id, waiter := range l.waiting {
		close(waiter)
		delete(l.waiting, id)
	}
	for _, stop := range l.running {
		stop()
	}
}
