package peer

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// A frame is: length of what follows (4 bytes), form (1), kind (1), id (8), payload.
const (
	lengthSize = 4
	headerSize = 1 + 1 + 8
)

type form uint8

const (
	formRequest form = iota + 1
	formResponse
	formOneWay
	formCancel
	formOpen
	formPiece
	formDrop
	formOffer
	formGrant
	formRefuse
	formLast = formRefuse
)

type frame struct {
	form    form
	kind    Kind
	id      uint64
	payload []byte
	// body follows the payload in a frame in pieces: the message's body, which is neither encoded nor copied.
	body []byte
	// hold is the memory that is held for the message: to be released when a frame to be sent is in the kernel, or a received one is used up.
	hold *bounded.Hold
	// openedAt is when a received frame was announced, if it came in pieces.
	openedAt time.Time
}

// size returns the bytes of payload and body.
func (f *frame) size() int { return len(f.payload) + len(f.body) }

var (
	errFrameSize = errors.New("peer: frame length out of bounds")
	errFrameForm = errors.New("peer: unexpected frame form or stream")
)

func (f *frame) encode() []byte {
	return f.append(make([]byte, 0, lengthSize+headerSize+len(f.payload)))
}

func (f *frame) append(out []byte) []byte {
	return append(f.appendHeader(out, len(f.payload)), f.payload...)
}

func (f *frame) appendHeader(out []byte, size int) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(headerSize+size))
	out = append(out, byte(f.form), byte(f.kind))
	return binary.BigEndian.AppendUint64(out, f.id)
}

// frameReader splits a byte stream into frames. Each payload is read directly into a
// buffer of its exact size, so that a large body is in memory only once.
type frameReader struct {
	header    []byte
	current   frame
	filled    int
	inPayload bool
	maxFrame  int
	assembler assembler
	// offered is called with the offer of a frame.
	offered func(offer)
}

// feed reads the next bytes of the stream and passes each complete frame to emit.
func (r *frameReader) feed(data []byte, emit func(frame)) error {
	for len(data) > 0 {
		var err error
		if r.inPayload {
			data = r.readPayload(data)
		} else {
			data, err = r.readHeader(data)
		}
		if err != nil {
			return err
		}
		if r.inPayload && r.filled == len(r.current.payload) {
			if err := r.finishFrame(emit); err != nil {
				return err
			}
		}
	}
	return nil
}

// finishFrame resets the reader for the next frame and handles the one just read:
// it emits the frame itself, or the frame that its piece completes.
func (r *frameReader) finishFrame(emit func(frame)) error {
	f := r.current
	r.current, r.filled, r.inPayload, r.header = frame{}, 0, false, r.header[:0]
	switch f.form {
	case formOpen:
		return r.assembler.open(f, r.maxFrame)
	case formOffer:
		o, err := r.assembler.addOffer(f, r.maxFrame)
		if err != nil {
			return err
		}
		r.offered(o)
	case formPiece:
		complete, ok, err := r.assembler.advance(f.id, len(f.payload))
		if err != nil {
			return err
		}
		if ok {
			emit(complete)
		}
	case formDrop:
		r.assembler.drop(f.id)
	default:
		emit(f)
	}
	return nil
}

// readHeader collects a frame's header and checks it before a buffer for the payload is allocated.
func (r *frameReader) readHeader(data []byte) ([]byte, error) {
	n := min(len(data), lengthSize+headerSize-len(r.header))
	r.header = append(r.header, data[:n]...)
	if len(r.header) >= lengthSize {
		size := int(binary.BigEndian.Uint32(r.header))
		if size < headerSize || size > min(r.maxFrame, headerSize+pieceSize) {
			return nil, errors.Wrapf(errFrameSize, "frame of %d bytes", size)
		}
	}
	if len(r.header) < lengthSize+headerSize {
		return data[n:], nil
	}
	fields := r.header[lengthSize:]
	r.current = frame{form: form(fields[0]), kind: Kind(fields[1]), id: binary.BigEndian.Uint64(fields[2:])}
	if r.current.form == 0 || r.current.form > formLast {
		return nil, errors.Wrapf(errFrameForm, "form %d", r.current.form)
	}
	payload, err := r.payloadBuffer(int(binary.BigEndian.Uint32(r.header)) - headerSize)
	r.current.payload = payload
	r.inPayload = true
	return data[n:], err
}

// payloadBuffer returns the buffer into which the current frame's payload is read.
func (r *frameReader) payloadBuffer(size int) ([]byte, error) {
	if r.current.form == formPiece {
		return r.assembler.pieceBuffer(r.current.id, size)
	}
	return make([]byte, size), nil
}

func (r *frameReader) readPayload(data []byte) []byte {
	n := copy(r.current.payload[r.filled:], data)
	r.filled += n
	return data[n:]
}
