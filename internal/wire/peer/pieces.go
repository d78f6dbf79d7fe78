package peer

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
)

// A frame with a payload of more than pieceSize bytes is sent in pieces, between which other
// frames can be sent: a formOpen with the stream's number as its id and the frame's
// own header and size as its payload, then formPiece frames with the same id until all
// bytes are sent, or formDrop if the sender gives up.
const (
	// pieceSize keeps a small request from waiting longer than some tens of
	// microseconds behind a piece, while headers add a few bytes in ten thousand.
	pieceSize        = 64 << 10
	announcementSize = headerSize + 4
	// maxOpenStreams bounds how many frames are sent in pieces at once in one direction of a connection.
	maxOpenStreams = 1024
)

// appendAnnouncement appends the formOpen frame that announces f as a stream of pieces.
func (f *frame) appendAnnouncement(out []byte, stream uint64) []byte {
	announcement := frame{form: formOpen, kind: f.kind, id: stream}
	out = announcement.appendHeader(out, announcementSize)
	out = append(out, byte(f.form), byte(f.kind))
	out = binary.BigEndian.AppendUint64(out, f.id)
	return binary.BigEndian.AppendUint32(out, uint32(len(f.payload)))
}

// assembler reassembles the frames of one connection that arrive in pieces.
//
// Each is read directly into a buffer of its announced size. Together they
// may announce at most the maximum frame size, so that a connection buffers
// no more than one frame of that size sent whole.
type assembler struct {
	streams        map[uint64]*partialFrame
	announcedBytes int
}

type partialFrame struct {
	frame         frame
	receivedBytes int
}

// open allocates the buffer for an announced frame if it is within the bounds.
func (a *assembler) open(f frame, maxFrame int) error {
	if len(f.payload) != announcementSize {
		return errors.Wrapf(errFrameSize, "stream announcement of %d bytes", len(f.payload))
	}
	size := int(binary.BigEndian.Uint32(f.payload[headerSize:]))
	announced := frame{form: form(f.payload[0]), kind: Kind(f.payload[1]), id: binary.BigEndian.Uint64(f.payload[2:]), openedAt: time.Now()}
	_, alreadyOpen := a.streams[f.id]
	switch {
	case alreadyOpen:
		return errors.Wrapf(errFrameForm, "stream %d opened twice", f.id)
	case announced.form == 0 || announced.form >= formOpen:
		return errors.Wrapf(errFrameForm, "form %d can't be sent in pieces", announced.form)
	case size == 0 || headerSize+a.announcedBytes+size > maxFrame || len(a.streams) == maxOpenStreams:
		return errors.Wrapf(errFrameSize, "stream of %d bytes announced beside %d bytes in %d open streams", size, a.announcedBytes, len(a.streams))
	}
	if a.streams == nil {
		a.streams = map[uint64]*partialFrame{}
	}
	announced.payload = make([]byte, size)
	a.streams[f.id] = &partialFrame{frame: announced}
	a.announcedBytes += size
	return nil
}

// pieceBuffer returns the buffer into which the next piece of a stream is read.
func (a *assembler) pieceBuffer(stream uint64, size int) ([]byte, error) {
	partial, ok := a.streams[stream]
	if !ok {
		return nil, errors.Wrapf(errFrameForm, "piece of unknown stream %d", stream)
	}
	if size == 0 || size > len(partial.frame.payload)-partial.receivedBytes {
		return nil, errors.Wrapf(errFrameSize, "piece of %d bytes, want 1 to %d", size, len(partial.frame.payload)-partial.receivedBytes)
	}
	return partial.frame.payload[partial.receivedBytes : partial.receivedBytes+size], nil
}

// advance records that a piece has been read; after the last one it returns the complete frame.
func (a *assembler) advance(stream uint64, size int) (frame, bool) {
	partial := a.streams[stream]
	partial.receivedBytes += size
	if partial.receivedBytes < len(partial.frame.payload) {
		return frame{}, false
	}
	a.drop(stream)
	return partial.frame, true
}

// drop removes a stream, whether complete or not.
func (a *assembler) drop(stream uint64) {
	if partial, ok := a.streams[stream]; ok {
		a.announcedBytes -= len(partial.frame.payload)
		delete(a.streams, stream)
	}
}
