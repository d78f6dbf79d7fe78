package peer

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// A frame with a payload of more than pieceSize bytes is sent in pieces, between which other
// frames can be sent: a formOffer with the stream's number as its id and the frame's
// own header and size as its payload, then, once the receiver has sent formGrant for the stream, formPiece
// frames with the same id until all bytes are sent, or formDrop if the sender gives up. The receiver sends formRefuse for a frame that it won't take.
// A peer that doesn't announce that it answers offers gets a formOpen, and the pieces at once.
const (
	// pieceSize keeps a small request from waiting longer than some tens of
	// microseconds behind a piece, while headers add a few bytes in ten thousand.
	pieceSize        = 64 << 10
	announcementSize = headerSize + 4
	// offerSize has the size of the frame's payload behind what an announcement has.
	offerSize = announcementSize + 4
	// maxOpenStreams bounds how many frames are sent in pieces at once in one direction of a connection.
	maxOpenStreams = 1024
	// maxOffers bounds how many frames are offered or being sent after an offer at once in one direction of a connection.
	maxOffers = 8192
)

// appendAnnouncement appends the formOpen frame that announces f as a stream of pieces.
func (f *frame) appendAnnouncement(out []byte, stream uint64) []byte {
	announcement := frame{form: formOpen, kind: f.kind, id: stream}
	return f.appendSize(announcement.appendHeader(out, announcementSize))
}

// appendOffer appends the formOffer frame that offers f as a stream of pieces.
func (f *frame) appendOffer(out []byte, stream uint64) []byte {
	offer := frame{form: formOffer, kind: f.kind, id: stream}
	out = f.appendSize(offer.appendHeader(out, offerSize))
	return binary.BigEndian.AppendUint32(out, uint32(len(f.payload)))
}

// appendSize appends the frame's header and size.
func (f *frame) appendSize(out []byte) []byte {
	out = append(out, byte(f.form), byte(f.kind))
	out = binary.BigEndian.AppendUint64(out, f.id)
	return binary.BigEndian.AppendUint32(out, uint32(f.size()))
}

// assembler reassembles the frames of one connection that arrive in pieces.
//
// Each is read directly into a buffer of its announced size. Those that are announced
// without an offer may together announce at most the maximum frame size, so that a connection buffers
// no more than one frame of that size sent whole.
type assembler struct {
	// account counts frames that come without an offer; nil in a reader without a node.
	account *bounded.Account

	mu             sync.Mutex
	streams        map[uint64]*partialFrame
	announcedBytes int
	closed         bool
}

type partialFrame struct {
	frame frame
	// buffer is nil until the memory for it is granted.
	buffer        []byte
	receivedBytes int
	payloadSize   int
	// offered means that the frame came with an offer, and waiter is its request for memory.
	offered bool
	waiter  *bounded.Waiter
}

// offer is a frame that the other side would send in pieces.
type offer struct {
	stream uint64
	frame  frame
	size   int
}

// open allocates the buffer for an announced frame if it is within the bounds.
func (a *assembler) open(f frame, maxFrame int) error {
	partial, size, err := parseAnnouncement(f, announcementSize)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.add(f.id, partial); err != nil {
		return err
	}
	if size == 0 || headerSize+a.announcedBytes+size > maxFrame || len(a.streams) > maxOpenStreams {
		return errors.Wrapf(errFrameSize, "stream of %d bytes announced beside %d bytes in %d open streams", size, a.announcedBytes, len(a.streams))
	}
	partial.buffer, partial.payloadSize = make([]byte, size), size
	if a.account != nil {
		partial.frame.hold = a.account.Take(purposeOf(partial.frame.kind, partial.frame.form), netip.Addr{}, int64(size))
	}
	a.announcedBytes += size
	return nil
}

// addOffer records an offered frame, whose buffer is allocated when there is memory for it.
func (a *assembler) addOffer(f frame, maxFrame int) (offer, error) {
	partial, size, err := parseAnnouncement(f, offerSize)
	if err != nil {
		return offer{}, err
	}
	partial.offered = true
	partial.payloadSize = int(binary.BigEndian.Uint32(f.payload[announcementSize:]))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.add(f.id, partial); err != nil {
		return offer{}, err
	}
	if size == 0 || headerSize+size > maxFrame || partial.payloadSize > size || len(a.streams) > maxOffers+maxOpenStreams {
		return offer{}, errors.Wrapf(errFrameSize, "stream of %d bytes with a payload of %d offered beside %d open streams", size, partial.payloadSize, len(a.streams))
	}
	return offer{stream: f.id, frame: partial.frame, size: size}, nil
}

// parseAnnouncement returns the frame that an announcement or offer describes, and its size.
func parseAnnouncement(f frame, wantSize int) (*partialFrame, int, error) {
	if len(f.payload) != wantSize {
		return nil, 0, errors.Wrapf(errFrameSize, "stream announcement of %d bytes", len(f.payload))
	}
	announced := frame{form: form(f.payload[0]), kind: Kind(f.payload[1]), id: binary.BigEndian.Uint64(f.payload[2:]), openedAt: time.Now()}
	if announced.form == 0 || announced.form >= formOpen {
		return nil, 0, errors.Wrapf(errFrameForm, "form %d can't be sent in pieces", announced.form)
	}
	return &partialFrame{frame: announced}, int(binary.BigEndian.Uint32(f.payload[headerSize:])), nil
}

// add adds a stream; the caller holds the lock.
func (a *assembler) add(stream uint64, partial *partialFrame) error {
	if a.closed {
		return errors.Wrapf(errFrameForm, "stream %d opened on a closed connection", stream)
	}
	if _, alreadyOpen := a.streams[stream]; alreadyOpen {
		return errors.Wrapf(errFrameForm, "stream %d opened twice", stream)
	}
	if a.streams == nil {
		a.streams = map[uint64]*partialFrame{}
	}
	a.streams[stream] = partial
	return nil
}

// await records the request for memory of an offered frame, so that it ends with the stream.
func (a *assembler) await(stream uint64, waiter *bounded.Waiter) {
	a.mu.Lock()
	partial, ok := a.streams[stream]
	if ok {
		partial.waiter = waiter
	}
	a.mu.Unlock()
	if !ok {
		waiter.Cancel()
	}
}

// grant allocates the buffer of an offered frame, for which memory is held. False means that the sender has given the frame up.
func (a *assembler) grant(stream uint64, size int, hold *bounded.Hold) bool {
	buffer := make([]byte, size)
	a.mu.Lock()
	defer a.mu.Unlock()
	partial, ok := a.streams[stream]
	if !ok {
		return false
	}
	partial.buffer, partial.frame.hold = buffer, hold
	return true
}

// pieceBuffer returns the buffer into which the next piece of a stream is read.
func (a *assembler) pieceBuffer(stream uint64, size int) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	partial, ok := a.streams[stream]
	if !ok || partial.buffer == nil {
		return nil, errors.Wrapf(errFrameForm, "piece of stream %d, which is unknown or not granted", stream)
	}
	if size == 0 || size > len(partial.buffer)-partial.receivedBytes {
		return nil, errors.Wrapf(errFrameSize, "piece of %d bytes, want 1 to %d", size, len(partial.buffer)-partial.receivedBytes)
	}
	return partial.buffer[partial.receivedBytes : partial.receivedBytes+size], nil
}

// advance records that a piece has been read; after the last one it returns the complete frame. A stream that was closed meanwhile is an error.
func (a *assembler) advance(stream uint64, size int) (frame, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	partial, ok := a.streams[stream]
	if !ok {
		return frame{}, false, errors.Wrapf(errFrameForm, "piece of stream %d, which was closed", stream)
	}
	partial.receivedBytes += size
	if partial.receivedBytes < len(partial.buffer) {
		return frame{}, false, nil
	}
	a.remove(stream, partial)
	complete := partial.frame
	complete.payload, complete.body = partial.buffer[:partial.payloadSize:partial.payloadSize], partial.buffer[partial.payloadSize:]
	return complete, true, nil
}

// drop removes a stream that isn't complete, with the memory that it has or waits for.
func (a *assembler) drop(stream uint64) {
	a.mu.Lock()
	partial, ok := a.streams[stream]
	if ok {
		a.remove(stream, partial)
	}
	a.mu.Unlock()
	if ok {
		partial.release()
	}
}

func (p *partialFrame) release() {
	if p.waiter != nil {
		p.waiter.Cancel()
	}
	p.frame.hold.Release()
}

// remove removes a stream; the caller holds the lock.
func (a *assembler) remove(stream uint64, partial *partialFrame) {
	if !partial.offered {
		a.announcedBytes -= len(partial.buffer)
	}
	delete(a.streams, stream)
}

// close drops all streams, now and later.
func (a *assembler) close() {
	a.mu.Lock()
	streams := a.streams
	a.streams, a.closed = nil, true
	a.mu.Unlock()
	for _, partial := range streams {
		partial.release()
	}
}
