package peer

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// A frame with more than pieceSize bytes goes in pieces, between which others
// have their turn: formOpen with a stream's number as its id and the frame's
// own head and size as its payload, then formPiece with the same id until all
// bytes are there, or formDrop if the sender gives up.
const (
	// pieceSize keeps a small request from waiting longer than some tens of
	// microseconds for a piece, while heads are a few bytes in ten thousand.
	pieceSize = 64 << 10
	openSize  = headerSize + 4
	// mostOpen bounds how many frames arrive in pieces at once on one connection.
	mostOpen = 1024
)

// appendOpen appends the frame that announces the one that follows in pieces.
func (f *frame) appendOpen(out []byte, stream uint64) []byte {
	open := frame{form: formOpen, kind: f.kind, id: stream}
	out = open.appendHead(out, openSize)
	out = append(out, byte(f.form), byte(f.kind))
	out = binary.BigEndian.AppendUint64(out, f.id)
	return binary.BigEndian.AppendUint32(out, uint32(len(f.payload)))
}

// assemblies are the frames of one connection that arrive in pieces.
//
// Each is read straight into a buffer of its announced size. All of them
// together may announce as many bytes as one frame may have, so that a
// connection holds no more than before they came in pieces.
type assemblies struct {
	open  map[uint64]*assembly
	bytes int
}

type assembly struct {
	whole  frame
	filled int
}

// begin makes room for an announced frame if it is within the bounds.
func (a *assemblies) begin(f frame, maxFrame int) error {
	if len(f.payload) != openSize {
		return errors.Wrapf(errFrameSize, "announcement of %d bytes", len(f.payload))
	}
	size := int(binary.BigEndian.Uint32(f.payload[headerSize:]))
	whole := frame{form: form(f.payload[0]), kind: Kind(f.payload[1]), id: binary.BigEndian.Uint64(f.payload[2:])}
	_, twice := a.open[f.id]
	switch {
	case twice:
		return errors.Wrapf(errFrameForm, "stream %d opened twice", f.id)
	case whole.form == 0 || whole.form >= formOpen:
		return errors.Wrapf(errFrameForm, "%d in pieces", whole.form)
	case size == 0 || headerSize+a.bytes+size > maxFrame || len(a.open) == mostOpen:
		return errors.Wrapf(errFrameSize, "%d bytes beside %d in %d pieces", size, a.bytes, len(a.open))
	}
	if a.open == nil {
		a.open = map[uint64]*assembly{}
	}
	whole.payload = make([]byte, size)
	a.open[f.id] = &assembly{whole: whole}
	a.bytes += size
	return nil
}

// room returns where the next piece of a stream goes.
func (a *assemblies) room(stream uint64, size int) ([]byte, error) {
	s, ok := a.open[stream]
	if !ok {
		return nil, errors.Wrapf(errFrameForm, "piece of unknown stream %d", stream)
	}
	if size == 0 || size > len(s.whole.payload)-s.filled {
		return nil, errors.Wrapf(errFrameSize, "piece of %d bytes where %d are missing", size, len(s.whole.payload)-s.filled)
	}
	return s.whole.payload[s.filled : s.filled+size], nil
}

// fill notes that a piece has arrived and returns the whole frame with the last one.
func (a *assemblies) fill(stream uint64, size int) (frame, bool) {
	s := a.open[stream]
	s.filled += size
	if s.filled < len(s.whole.payload) {
		return frame{}, false
	}
	a.drop(stream)
	return s.whole, true
}

// drop forgets a stream.
func (a *assemblies) drop(stream uint64) {
	if s, ok := a.open[stream]; ok {
		a.bytes -= len(s.whole.payload)
		delete(a.open, stream)
	}
}
