package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
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
	asked  stamp
	// heard is when anything came on the link, and waits when the first of the calls that wait was sent.
	heard stamp
	waits stamp
	// silenced is closed when the link is given up as silent.
	silenced chan struct{}
	silence  sync.Once

	sending sync.Mutex
	queued  atomic.Uint64
	written atomic.Uint64

	out      outbox
	awaiting atomic.Bool
	drained  chan struct{}
	gone     chan struct{}
	leave    sync.Once

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan frame
	running map[uint64]context.CancelFunc
	broken  bool
	retired bool
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
		drained: make(chan struct{}, 1),
		gone:    make(chan struct{}),

		silenced: make(chan struct{}),
	}
}

// sent tells where on the stream a frame ends.
type sent struct {
	end    uint64
	pieces *outgoing
}

// send sends a frame, a large one in pieces beside others; an error means that it was not sent whole.
func (l *link) send(f frame) (sent, error) {
	if len(f.payload) <= pieceSize {
		end, err := l.write(f.encode(), nil)
		return sent{end: end}, err
	}
	if headerSize+len(f.payload) > l.node.maxFrame {
		return sent{}, errors.Wrapf(errFrameSize, "%d bytes", len(f.payload))
	}
	o := &outgoing{frame: f}
	if l.out.add(o) {
		go l.pump()
	}
	return sent{pieces: o}, nil
}

// abandon tells the other side that nobody waits for a request's answer any more, or sends no more of the request.
func (l *link) abandon(f frame, s sent) {
	if s.pieces == nil || s.pieces.end.Load() > 0 {
		l.sendCancel(f)
		return
	}
	l.out.drop(s.pieces)
	// The last piece may have gone between the two, and its pump have seen nothing of this.
	if s.pieces.end.Load() > 0 {
		l.sendCancel(f)
	}
}

func (l *link) sendCancel(f frame) {
	cancel := frame{form: formCancel, kind: f.kind, id: f.id}
	_, _ = l.write(cancel.encode(), nil)
}

// write sends bytes and returns the stream offset at which they end; an error
// means that they were not sent whole, so the other side can't act on them.
// The offset is stored before the first byte can leave: a connection that breaks
// meanwhile must not show a frame that left whole as one whose end was not queued.
func (l *link) write(data []byte, end *atomic.Uint64) (uint64, error) {
	l.sending.Lock()
	defer l.sending.Unlock()
	queued := l.queued.Load() + uint64(len(data))
	if end != nil {
		end.Store(queued)
	}
	if _, err := l.conn.Write(data); err != nil {
		return 0, err
	}
	l.queued.Store(queued)
	l.node.countSent(data)
	return queued, nil
}

// cutOff reports whether a frame never left whole.
//
// A connection can break while a large request is still in the send queue, or
// has pieces that were not even queued. The peer executes whole frames only, and
// bytes are counted before the connection can be seen as closed, so fewer than
// the frame needs prove that it did not run. It is asked once the link is
// broken, when no more bytes go out.
func (l *link) cutOff(s sent) bool {
	end := s.end
	if s.pieces != nil {
		end = s.pieces.end.Load()
	}
	return end == 0 || l.written.Load() < end
}

// data takes the next bytes of the stream.
func (l *link) data(bytes []byte) error {
	l.asked.clear()
	l.heard.touch()
	if l.greet.done {
		return l.reader.feed(bytes, l.take)
	}
	rest, err := l.greet.feed(bytes, func(out []byte) { _, _ = l.write(out, nil) })
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
	if l.broken || l.retired {
		return 0, nil, false
	}
	l.asked.touchFirst()
	if len(l.waiting) == 0 {
		l.waits.touch()
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
	over := l.over()
	l.mu.Unlock()
	if over {
		_ = l.conn.Close()
	}
}

// take handles one frame from the other side.
func (l *link) take(f frame) {
	l.node.counts[kindIndex(f.kind)].received.Add(uint64(lengthSize + headerSize + len(f.payload)))
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
	over := l.over()
	l.mu.Unlock()
	if ok {
		waiter <- f
	}
	if over {
		_ = l.conn.Close()
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
	l.node.workers.Go(func() {
		defer stop()
		l.handle(ctx, h, f)
	})
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
		if _, err := l.send(reply); err != nil {
			_ = l.conn.CloseWithError(err)
		}
	}
}

// fail ends every call in flight: their answers can't arrive any more, and work for a caller that is gone is stopped.
func (l *link) fail() {
	l.leave.Do(func() { close(l.gone) })
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
