package peer

import (
	"slices"
	"sync"
	"sync/atomic"
)

// window bounds the bytes of a connection that wait outside the kernel while
// large frames are on their way, and so what a small one has before it.
const window = 2 * pieceSize

// outgoing is a frame that leaves in pieces.
type outgoing struct {
	frame  frame
	stream uint64
	queued int
	// end is the stream offset at which its last piece ends; 0 before that was about to be queued.
	end atomic.Uint64
	// dropped is guarded by the outbox.
	dropped bool
}

// outbox holds the large frames of one connection; those in turn send a piece each, one after another.
//
// A campaign file of 64 MB would otherwise hold up every request behind it to
// the same daemon for as long as it takes to send. What leaves turns or waiting is cleared
// in the slice too, since a connection outlives its frames by hours.
type outbox struct {
	mu      sync.Mutex
	turns   []*outgoing
	waiting []*outgoing
	bytes   int
	streams uint64
	pumping bool
}

// add takes a frame in and reports whether a pump has to be started for it.
func (b *outbox) add(o *outgoing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams++
	o.stream = b.streams
	b.waiting = append(b.waiting, o)
	start := !b.pumping
	b.pumping = true
	return start
}

// drop gives up a frame; its pump tells the other side.
func (b *outbox) drop(o *outgoing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.dropped = true
}

// turn returns the frame whose piece comes next, and whether it has been given up; nil ends the pump.
//
// Frames are begun in the order in which they came, as many as the other side
// has room for: together they announce at most as many bytes as one may have.
func (b *outbox) turn(maxFrame int) (o *outgoing, dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && len(b.turns) < mostOpen && headerSize+b.bytes+len(b.waiting[0].frame.payload) <= maxFrame {
		first := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		if !first.dropped {
			b.bytes += len(first.frame.payload)
			b.turns = append(b.turns, first)
		}
	}
	if len(b.turns) == 0 {
		b.pumping = false
		return nil, false
	}
	o = b.turns[0]
	b.turns = slices.Delete(b.turns, 0, 1)
	return o, o.dropped
}

// done puts a frame at the end of the turns, or takes it out once it is over;
// it reports whether it was given up after its last piece had gone.
func (b *outbox) done(o *outgoing, over bool) (late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if over {
		b.bytes -= len(o.frame.payload)
		return o.dropped
	}
	b.turns = append(b.turns, o)
	return false
}

// pump sends pieces until no large frame is left or the connection is gone.
func (l *link) pump() {
	var buffer []byte
	for l.awaitRoom() {
		o, dropped := l.out.turn(l.node.maxFrame)
		if o == nil {
			return
		}
		if dropped {
			l.giveUp(o)
			continue
		}
		var err error
		if buffer, err = l.sendPiece(buffer[:0], o); err != nil {
			return
		}
		over := o.queued == len(o.frame.payload)
		if l.out.done(o, over) {
			l.sendCancel(o.frame)
		}
	}
}

// sendPiece queues the next piece of a frame, the first one behind its announcement.
func (l *link) sendPiece(buffer []byte, o *outgoing) ([]byte, error) {
	if o.queued == 0 {
		buffer = o.frame.appendOpen(buffer, o.stream)
	}
	piece := frame{form: formPiece, kind: o.frame.kind, id: o.stream}
	piece.payload = o.frame.payload[o.queued:min(o.queued+pieceSize, len(o.frame.payload))]
	buffer = piece.append(buffer)
	o.queued += len(piece.payload)
	if o.queued < len(o.frame.payload) {
		_, err := l.write(buffer, nil)
		return buffer, err
	}
	_, err := l.write(buffer, &o.end)
	return buffer, err
}

func (l *link) giveUp(o *outgoing) {
	if o.queued > 0 {
		drop := frame{form: formDrop, kind: o.frame.kind, id: o.stream}
		_, _ = l.write(drop.encode(), nil)
	}
	l.out.done(o, true)
}

// awaitRoom waits until little enough of the connection's bytes is left outside the kernel; false means that it is gone.
func (l *link) awaitRoom() bool {
	for l.backlog() > window {
		l.awaiting.Store(true)
		if l.backlog() <= window {
			break
		}
		select {
		case <-l.drained:
		case <-l.gone:
			return false
		}
	}
	l.awaiting.Store(false)
	select {
	case <-l.gone:
		return false
	default:
		return true
	}
}

func (l *link) backlog() uint64 { return l.queued.Load() - min(l.written.Load(), l.queued.Load()) }

// wrote counts bytes that went to the kernel; it runs under the connection's lock.
func (l *link) wrote(bytes int) {
	l.written.Add(uint64(bytes))
	if !l.awaiting.Load() {
		return
	}
	select {
	case l.drained <- struct{}{}:
	default:
	}
}
