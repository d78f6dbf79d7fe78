package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// link is one connection to a peer with the calls in flight on it, in both directions.
type link struct {
	node      *Node
	conn      *nbio.Conn
	remote    netip.AddrPort
	key       linkKey
	handshake listenerHandshake
	reader    frameReader
	lastUsed  timestamp
	// unansweredSince is when the first call since the last received byte was added; unset if there was none.
	unansweredSince timestamp
	// lastReceived is when bytes were last received, and waitingSince when the pending calls last became more than none.
	lastReceived timestamp
	waitingSince timestamp
	// silent is closed when the peer has not responded to probes within Probes.Limit.
	silent     chan struct{}
	silentOnce sync.Once

	// announced has the layouts that the other side has announced; nil until then.
	announced atomic.Pointer[announcement]
	// offers means that the other side answers offers. announcementArrived is closed when its announcement has arrived or is no longer waited for.
	offers              atomic.Bool
	announcementArrived chan struct{}
	announcementOnce    sync.Once
	// place is the other side's place once it is known.
	place atomic.Uint32

	writeMu      sync.Mutex
	queuedBytes  atomic.Uint64
	writtenBytes atomic.Uint64

	outbox        outbox
	written       writtenHolds
	awaitingDrain atomic.Bool
	drained       chan struct{}
	closed        chan struct{}
	closeOnce     sync.Once

	mu              sync.Mutex
	nextID          uint64
	pendingCalls    map[uint64]chan frame
	runningHandlers map[uint64]context.CancelFunc
	// broken means that the connection is closed or about to be, retired that this node sends no new calls on it.
	broken  bool
	retired bool
}

func newLink(n *Node, c *nbio.Conn) *link {
	remote, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	l := &link{
		node:            n,
		conn:            c,
		remote:          remote,
		handshake:       listenerHandshake{secrets: n.secrets},
		reader:          frameReader{maxFrame: n.maxFrame},
		pendingCalls:    map[uint64]chan frame{},
		runningHandlers: map[uint64]context.CancelFunc{},
		drained:         make(chan struct{}, 1),
		closed:          make(chan struct{}),

		silent:              make(chan struct{}),
		announcementArrived: make(chan struct{}),
	}
	l.reader.offered, l.reader.assembler.account = l.receiveOffer, n.account
	return l
}

// sendPosition locates the end of a frame in the connection's byte stream: at endOffset,
// or for a frame sent in pieces at outgoing's endOffset.
type sendPosition struct {
	endOffset uint64
	outgoing  *outgoing
}

// frameBuffers holds buffers for the encoding of frames; a connection copies what it can't send at once.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// send sends a frame, or starts to send a large one in pieces; an error means that it was not sent whole. What is held for the frame is released
// when it is sent or given up.
func (l *link) send(f frame) (sendPosition, error) {
	large := f.size() > pieceSize
	switch {
	case headerSize+f.size() > l.node.maxFrame:
		f.hold.Release()
		return sendPosition{}, errors.Wrapf(errFrameSize, "payload of %d bytes", f.size())
	case l.answersOffers() && (large || l.backlog() > maxDirectBacklog && isForwarding(f.kind)):
		return l.sendOffer(f)
	case !large:
		return l.sendWhole(f)
	}
	if f.hold == nil && f.body == nil && !isForwarding(f.kind) {
		f.hold = l.node.account.Take(bounded.FleetMessage, netip.Addr{}, int64(f.size()))
	}
	o := newOutgoing(f, false)
	if l.outbox.add(o) {
		go l.pump()
	}
	return sendPosition{outgoing: o}, nil
}

// sendWhole sends a small frame.
func (l *link) sendWhole(f frame) (sendPosition, error) {
	buffer := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buffer)
	*buffer = f.append((*buffer)[:0])
	endOffset, err := l.write(*buffer, nil)
	if err != nil {
		f.hold.Release()
		return sendPosition{}, err
	}
	l.releaseWhenWritten(endOffset, f.hold)
	return sendPosition{endOffset: endOffset}, nil
}

// abandon cancels a request at the other side, or stops sending it if a part has not been sent yet.
func (l *link) abandon(f frame, position sendPosition) {
	if position.outgoing == nil || position.outgoing.endOffset.Load() > 0 {
		l.sendCancel(f)
		return
	}
	if l.withdrawOffer(position.outgoing) {
		return
	}
	l.outbox.drop(position.outgoing)
	// The last piece may have been queued since the first check, in which case the pump may not have seen the drop.
	if position.outgoing.endOffset.Load() > 0 {
		l.sendCancel(f)
	}
}

func (l *link) sendCancel(f frame) {
	cancel := frame{form: formCancel, kind: f.kind, id: f.id}
	_, _ = l.write(cancel.encode(), nil)
}

// write sends bytes and returns the stream offset at which they end; an error
// means that they were not sent whole, so the other side can't act on them.
// The offset is stored in endOffset before the first byte can be sent: if the connection breaks
// meanwhile, a frame that was sent whole must not look like one whose last piece was never queued.
func (l *link) write(data []byte, endOffset *atomic.Uint64) (uint64, error) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	queued := l.queuedBytes.Load() + uint64(len(data))
	if endOffset != nil {
		endOffset.Store(queued)
	}
	if _, err := l.conn.Write(data); err != nil {
		return 0, err
	}
	l.queuedBytes.Store(queued)
	l.countSent(data)
	return queued, nil
}

// notSentWhole reports whether a part of a frame was never sent. It is called once the
// link is broken, when no more bytes are sent.
//
// A connection can break while a large request is still in the send queue, or
// has pieces that were not even queued. The peer executes whole frames only, and
// sent bytes are counted before the connection can be seen as closed, so a count below
// the frame's end proves that the request did not run.
func (l *link) notSentWhole(position sendPosition) bool {
	endOffset := position.endOffset
	if position.outgoing != nil {
		endOffset = position.outgoing.endOffset.Load()
	}
	return endOffset == 0 || l.writtenBytes.Load() < endOffset
}

// receive handles the next bytes of the stream.
func (l *link) receive(data []byte) error {
	l.unansweredSince.clear()
	l.lastReceived.setNow()
	if l.handshake.done {
		return l.reader.feed(data, l.handleFrame)
	}
	rest, err := l.handshake.feed(data, func(out []byte) { _, _ = l.write(out, nil) })
	if err != nil || !l.handshake.done {
		return err
	}
	_ = l.conn.SetReadDeadline(time.Time{})
	l.announce()
	return l.reader.feed(rest, l.handleFrame)
}

// addCall registers a call and returns its id and the channel for its response; false means that the link takes no new calls.
func (l *link) addCall() (uint64, chan frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken || l.retired {
		return 0, nil, false
	}
	l.unansweredSince.setNowIfZero()
	if len(l.pendingCalls) == 0 {
		l.waitingSince.setNow()
	}
	l.nextID++
	response := make(chan frame, 1)
	l.pendingCalls[l.nextID] = response
	return l.nextID, response, true
}

// removeCall removes a call that its caller has given up, so that a late response is discarded.
func (l *link) removeCall(id uint64, response <-chan frame) {
	l.mu.Lock()
	_, pending := l.pendingCalls[id]
	delete(l.pendingCalls, id)
	drained := l.breakIfDrained()
	l.mu.Unlock()
	if drained {
		_ = l.conn.Close()
	}
	if !pending {
		received := <-response
		received.hold.Release()
	}
}

// handleFrame handles one frame from the other side.
func (l *link) handleFrame(f frame) {
	l.node.bytesByKind[kindIndex(f.kind)][l.placeOfRemote()].received.Add(uint64(lengthSize + headerSize + f.size()))
	switch f.form {
	case formResponse:
		l.deliver(f)
	case formCancel:
		l.cancelHandler(f.id)
	case formGrant:
		if l.outbox.grant(f.id) {
			go l.pump()
		}
	case formRefuse:
		l.outbox.refuse(f.id)
	case formRequest, formOneWay:
		if f.kind == KindLayouts {
			l.receiveAnnouncement(f.payload)
			return
		}
		l.startHandler(f)
	}
}

func (l *link) deliver(f frame) {
	l.mu.Lock()
	response, ok := l.pendingCalls[f.id]
	delete(l.pendingCalls, f.id)
	drained := l.breakIfDrained()
	l.mu.Unlock()
	if ok {
		response <- f
	} else {
		f.hold.Release()
	}
	if drained {
		_ = l.conn.Close()
	}
}

func (l *link) cancelHandler(id uint64) {
	l.mu.Lock()
	stop, ok := l.runningHandlers[id]
	l.mu.Unlock()
	if ok {
		stop()
		return
	}
	// The handler has ended, but its response may still wait for room at a caller that doesn't want it any more.
	l.withdrawOffer(l.outbox.offeredResponse(id))
}

func (l *link) startHandler(f frame) {
	h, ok := l.node.handlers[f.kind]
	if !ok {
		f.hold.Release()
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l.mu.Lock()
	// On a broken link the response could not be sent, and endCalls, which would stop the handler, may have run already.
	if l.broken {
		l.mu.Unlock()
		stop()
		f.hold.Release()
		return
	}
	if f.form == formRequest {
		l.runningHandlers[f.id] = stop
	}
	l.mu.Unlock()
	l.node.workers.Go(func() {
		defer stop()
		l.runHandler(ctx, h, f)
	})
}

func (l *link) runHandler(ctx context.Context, h handler, f frame) {
	response, err := h(withOpened(ctx, f), l, f)
	if f.form == formRequest {
		l.mu.Lock()
		delete(l.runningHandlers, f.id)
		l.mu.Unlock()
	}
	if err != nil {
		l.node.logger(l.remote, err)
		_ = l.conn.CloseWithError(err)
		return
	}
	if f.form == formRequest {
		response.form, response.kind, response.id = formResponse, f.kind, f.id
		if _, err := l.send(response); err != nil {
			_ = l.conn.CloseWithError(err)
		}
		return
	}
	response.hold.Release()
}

// endCalls ends all calls on a closed connection: pending calls get no response any more, and handlers that run for the other side are cancelled.
func (l *link) endCalls() {
	l.closeOnce.Do(func() { close(l.closed) })
	l.outbox.close()
	l.reader.assembler.close()
	l.written.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = true
	for id, response := range l.pendingCalls {
		close(response)
		delete(l.pendingCalls, id)
	}
	for _, stop := range l.runningHandlers {
		stop()
	}
}
