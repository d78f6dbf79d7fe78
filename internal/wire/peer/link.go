package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// link is one connection with the calls in flight on it, in both directions.
type link struct {
	node   *Node
	conn   *nbio.Conn
	remote netip.AddrPort
	dialed lane
	greet  greeting
	reader reader
	used   stamp

	sending sync.Mutex
	queued  uint64
	written atomic.Uint64

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
		greet:   greeting{secrets: n.secrets},
		reader:  reader{maxFrame: n.maxFrame},
		waiting: map[uint64]chan frame{},
		running: map[uint64]context.CancelFunc{},
	}
}

// send writes a frame and counts its bytes for its kind.
func (l *link) send(f *frame) (end uint64, err error) {
	raw := f.encode()
	l.node.sentOf[f.kind].Add(uint64(len(raw)))
	return l.write(raw)
}

// write sends a frame and returns the stream offset at which it ends; an error
// means that the frame was not sent whole, so the other side can't act on it.
func (l *link) write(data []byte) (end uint64, err error) {
	l.sending.Lock()
	defer l.sending.Unlock()
	if _, err := l.conn.Write(data); err != nil {
		return 0, err
	}
	l.queued += uint64(len(data))
	l.node.sent.Add(uint64(len(data)))
	return l.queued, nil
}

// cutOff reports whether a frame that ends at the offset never left whole.
//
// A connection can break while a large request is still in the send queue. The
// peer executes whole frames only, and bytes are counted before the connection
// can be seen as closed, so fewer than the frame needs prove that it did not
// run. It is asked once the link is broken, when no more bytes go out.
func (l *link) cutOff(end uint64) bool { return l.written.Load() < end }

// data takes the next bytes of the stream.
func (l *link) data(bytes []byte) error {
	if l.greet.done {
		return l.reader.feed(bytes, l.take)
	}
	rest, err := l.greet.feed(bytes, func(out []byte) { _, _ = l.write(out) })
	if err != nil || !l.greet.done {
		return err
	}
	_ = l.conn.SetReadDeadline(time.Time{})
	return l.reader.feed(rest, l.take)
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
	// Nobody could be told of the answer, and fail, which stops what runs, has been.
	if l.broken {
		l.mu.Unlock()
		stop()
		return
	}
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
		_, _ = l.send(&reply)
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
