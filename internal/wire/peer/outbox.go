package peer

import (
	"slices"
	"sync"
	"sync/atomic"
)

// maxBacklog bounds the bytes of a connection that are queued outside the kernel while
// large frames are being sent, and so how many bytes a small frame has to wait for.
const maxBacklog = 2 * pieceSize

// outgoing is a frame that is being sent in pieces.
type outgoing struct {
	// frame loses payload and body when it is dropped; size stays.
	frame       frame
	size        int
	stream      uint64
	queuedBytes int
	// offered means that the frame is sent once the other side has granted it; one of granted and refused is closed when it decides.
	offered bool
	granted chan struct{}
	refused chan struct{}
	// endOffset is the stream offset at which the last piece ends; 0 until that piece is about to be queued.
	endOffset atomic.Uint64
	// dropped is guarded by the outbox.
	dropped bool
}

func newOutgoing(f frame, offered bool) *outgoing {
	o := &outgoing{frame: f, size: f.size(), offered: offered}
	if offered {
		o.granted, o.refused = make(chan struct{}), make(chan struct{})
	}
	return o
}

// nextPiece returns the next bytes of payload and then body, at most pieceSize.
func (o *outgoing) nextPiece() []byte {
	rest := o.frame.body
	if begun := o.queuedBytes - len(o.frame.payload); begun < 0 {
		rest = o.frame.payload[o.queuedBytes:]
	} else {
		rest = rest[begun:]
	}
	return rest[:min(pieceSize, len(rest))]
}

// clear releases what the frame holds, once it is given up.
func (o *outgoing) clear() {
	o.frame.hold.Release()
	o.frame.payload, o.frame.body = nil, nil
}

// outbox holds the large frames of one connection; those in progress send one piece each in round-robin order.
//
// A body of 64 MB would otherwise delay every later request to the same daemon
// for as long as it takes to send. Frames that are removed from inProgress or waiting are also
// cleared in the backing array, since a connection outlives its frames by hours.
type outbox struct {
	mu         sync.Mutex
	inProgress []*outgoing
	// waiting has frames that the other side doesn't answer offers of, offers those that it has not granted yet.
	waiting        []*outgoing
	offers         map[uint64]*outgoing
	announcedBytes int
	lastStream     uint64
	pumpRunning    bool
	closed         bool
}

// add queues a frame and reports whether the caller has to start the pump.
func (b *outbox) add(o *outgoing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		o.clear()
		return false
	}
	b.lastStream++
	o.stream = b.lastStream
	b.waiting = append(b.waiting, o)
	return b.startPump()
}

func (b *outbox) startPump() bool {
	start := !b.pumpRunning
	b.pumpRunning = true
	return start
}

// addOffer records a frame that is about to be offered; false means that too many are, or that the connection is closed.
func (b *outbox) addOffer(o *outgoing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.offers)+len(b.inProgress) >= maxOffers {
		return false
	}
	b.lastStream++
	o.stream = b.lastStream
	if b.offers == nil {
		b.offers = map[uint64]*outgoing{}
	}
	b.offers[o.stream] = o
	return true
}

// grant begins to send an offered frame, and reports whether the caller has to start the pump.
func (b *outbox) grant(stream uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, ok := b.offers[stream]
	if !ok {
		return false
	}
	delete(b.offers, stream)
	close(o.granted)
	b.inProgress = append(b.inProgress, o)
	return b.startPump()
}

// refuse gives an offered frame up that the other side won't take.
func (b *outbox) refuse(stream uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o, ok := b.offers[stream]; ok {
		delete(b.offers, stream)
		close(o.refused)
		o.clear()
	}
}

// withdraw gives a frame up that has not been granted yet; false means that it has.
func (b *outbox) withdraw(o *outgoing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.offers[o.stream] != o {
		return false
	}
	delete(b.offers, o.stream)
	o.clear()
	return true
}

// offeredResponse returns the response with the id that has not been granted yet, or nil.
func (b *outbox) offeredResponse(id uint64) *outgoing {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.offers {
		if o.frame.form == formResponse && o.frame.id == id {
			return o
		}
	}
	return nil
}

// drop marks a frame as given up; the pump notifies the other side.
//
// Its bytes are released at once: the pump may wait for a peer that has stopped reading.
func (b *outbox) drop(o *outgoing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.dropped = true
	if slices.Contains(b.inProgress, o) || slices.Contains(b.waiting, o) {
		o.clear()
	}
}

// next returns the frame whose piece is sent next, and whether it has been dropped; nil ends the pump.
//
// Frames without an offer are started in the order in which they were added, as many as the other side
// accepts: together they announce at most the maximum frame size.
func (b *outbox) next(maxFrame int) (o *outgoing, dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && len(b.inProgress) < maxOpenStreams && headerSize+b.announcedBytes+b.waiting[0].size <= maxFrame {
		first := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		if !first.dropped {
			b.announcedBytes += first.size
			b.inProgress = append(b.inProgress, first)
		}
	}
	if len(b.inProgress) == 0 {
		b.pumpRunning = false
		return nil, false
	}
	o = b.inProgress[0]
	b.inProgress = slices.Delete(b.inProgress, 0, 1)
	return o, o.dropped
}

// pieceSent puts a frame at the end of those in progress, or releases its bytes if it is complete;
// it reports whether a complete frame has been dropped since next returned it.
func (b *outbox) pieceSent(o *outgoing, complete bool) (droppedLate bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if complete {
		if !o.offered {
			b.announcedBytes -= o.size
		}
		return o.dropped
	}
	if o.dropped || b.closed {
		o.clear()
	}
	b.inProgress = append(b.inProgress, o)
	return false
}

// close gives up all frames, now and later: the connection is closed.
func (b *outbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, o := range slices.Concat(b.inProgress, b.waiting) {
		o.clear()
	}
	for _, o := range b.offers {
		o.clear()
	}
	b.inProgress, b.waiting, b.offers = nil, nil, nil
}

// pump sends pieces until no large frame is left or the connection is closed.
func (l *link) pump() {
	var buffer []byte
	for l.awaitBacklog() {
		o, dropped := l.outbox.next(l.node.maxFrame)
		if o == nil {
			return
		}
		if dropped {
			l.abort(o)
			continue
		}
		var err error
		if buffer, err = l.sendPiece(buffer[:0], o); err != nil {
			o.frame.hold.Release()
			return
		}
		complete := o.queuedBytes == o.size
		if l.outbox.pieceSent(o, complete) {
			l.sendCancel(o.frame)
		}
		if complete {
			l.releaseWhenWritten(o.endOffset.Load(), o.frame.hold)
		}
	}
}

// sendPiece queues the next piece of a frame, the first one after its announcement unless it was offered.
func (l *link) sendPiece(buffer []byte, o *outgoing) ([]byte, error) {
	if o.queuedBytes == 0 && !o.offered {
		buffer = o.frame.appendAnnouncement(buffer, o.stream)
	}
	piece := frame{form: formPiece, kind: o.frame.kind, id: o.stream, payload: o.nextPiece()}
	buffer = piece.append(buffer)
	o.queuedBytes += len(piece.payload)
	if o.queuedBytes < o.size {
		_, err := l.write(buffer, nil)
		return buffer, err
	}
	_, err := l.write(buffer, &o.endOffset)
	return buffer, err
}

func (l *link) abort(o *outgoing) {
	if o.queuedBytes > 0 || o.offered {
		l.sendDrop(o)
	}
	l.outbox.pieceSent(o, true)
	o.frame.hold.Release()
}

// sendDrop tells the other side that the rest of a frame won't come.
func (l *link) sendDrop(o *outgoing) {
	drop := frame{form: formDrop, kind: o.frame.kind, id: o.stream}
	_, _ = l.write(drop.encode(), nil)
}

// awaitBacklog waits until the backlog is at most maxBacklog; false means that the connection is closed.
func (l *link) awaitBacklog() bool {
	for l.backlog() > maxBacklog {
		l.awaitingDrain.Store(true)
		if l.backlog() <= maxBacklog {
			break
		}
		select {
		case <-l.drained:
		case <-l.closed:
			return false
		}
	}
	l.awaitingDrain.Store(false)
	select {
	case <-l.closed:
		return false
	default:
		return true
	}
}

// backlog returns the bytes queued but not yet written to the kernel.
func (l *link) backlog() uint64 {
	return l.queuedBytes.Load() - min(l.writtenBytes.Load(), l.queuedBytes.Load())
}

// addWritten counts bytes written to the kernel, releases what was held for them and wakes the pump; it runs under the connection's lock.
func (l *link) addWritten(bytes int) {
	l.written.release(l.writtenBytes.Add(uint64(bytes)))
	if !l.awaitingDrain.Load() {
		return
	}
	select {
	case l.drained <- struct{}{}:
	default:
	}
}
