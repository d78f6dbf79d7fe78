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
	frame       frame
	stream      uint64
	queuedBytes int
	// endOffset is the stream offset at which the last piece ends; 0 until that piece is about to be queued.
	endOffset atomic.Uint64
	// dropped is guarded by the outbox.
	dropped bool
}

// outbox holds the large frames of one connection; those in progress send one piece each in round-robin order.
//
// A body of 64 MB would otherwise delay every later request to the same daemon
// for as long as it takes to send. Frames that are removed from inProgress or waiting are also
// cleared in the backing array, since a connection outlives its frames by hours.
type outbox struct {
	mu             sync.Mutex
	inProgress     []*outgoing
	waiting        []*outgoing
	announcedBytes int
	lastStream     uint64
	pumpRunning    bool
}

// add queues a frame and reports whether the caller has to start the pump.
func (b *outbox) add(o *outgoing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastStream++
	o.stream = b.lastStream
	b.waiting = append(b.waiting, o)
	startPump := !b.pumpRunning
	b.pumpRunning = true
	return startPump
}

// drop marks a frame as given up; the pump notifies the other side.
func (b *outbox) drop(o *outgoing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.dropped = true
}

// next returns the frame whose piece is sent next, and whether it has been dropped; nil ends the pump.
//
// Frames are started in the order in which they were added, as many as the other side
// accepts: together they announce at most the maximum frame size.
func (b *outbox) next(maxFrame int) (o *outgoing, dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && len(b.inProgress) < maxOpenStreams && headerSize+b.announcedBytes+len(b.waiting[0].frame.payload) <= maxFrame {
		first := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		if !first.dropped {
			b.announcedBytes += len(first.frame.payload)
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
		b.announcedBytes -= len(o.frame.payload)
		return o.dropped
	}
	b.inProgress = append(b.inProgress, o)
	return false
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
			return
		}
		complete := o.queuedBytes == len(o.frame.payload)
		if l.outbox.pieceSent(o, complete) {
			l.sendCancel(o.frame)
		}
	}
}

// sendPiece queues the next piece of a frame, the first one after its announcement.
func (l *link) sendPiece(buffer []byte, o *outgoing) ([]byte, error) {
	if o.queuedBytes == 0 {
		buffer = o.frame.appendAnnouncement(buffer, o.stream)
	}
	piece := frame{form: formPiece, kind: o.frame.kind, id: o.stream}
	piece.payload = o.frame.payload[o.queuedBytes:min(o.queuedBytes+pieceSize, len(o.frame.payload))]
	buffer = piece.append(buffer)
	o.queuedBytes += len(piece.payload)
	if o.queuedBytes < len(o.frame.payload) {
		_, err := l.write(buffer, nil)
		return buffer, err
	}
	_, err := l.write(buffer, &o.endOffset)
	return buffer, err
}

func (l *link) abort(o *outgoing) {
	if o.queuedBytes > 0 {
		drop := frame{form: formDrop, kind: o.frame.kind, id: o.stream}
		_, _ = l.write(drop.encode(), nil)
	}
	l.outbox.pieceSent(o, true)
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

// addWritten counts bytes written to the kernel and wakes the pump; it runs under the connection's lock.
func (l *link) addWritten(bytes int) {
	l.writtenBytes.Add(uint64(bytes))
	if !l.awaitingDrain.Load() {
		return
	}
	select {
	case l.drained <- struct{}{}:
	default:
	}
}
