package peer

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// A frame is: length of what follows (4 bytes), form (1), kind (1), id (8), payload.
const (
	lengthSize = 4
	headerSize = 1 + 1 + 8
)

// preamble opens every connection; anything else on the port is not a peer.
const preamble = "fxh1"

type form uint8

const (
	formRequest form = iota + 1
	formAnswer
	formOneWay
	formCancel
	formLast = formCancel
)

type frame struct {
	form    form
	kind    Kind
	id      uint64
	payload []byte
}

var (
	errNotPeer   = errors.New("peer: bytes on the port are not a peer's")
	errFrameSize = errors.New("peer: frame length out of bounds")
	errFrameForm = errors.New("peer: unknown frame form")
)

func (f *frame) encode() []byte {
	out := make([]byte, lengthSize+headerSize+len(f.payload))
	binary.BigEndian.PutUint32(out, uint32(headerSize+len(f.payload)))
	out[lengthSize] = byte(f.form)
	out[lengthSize+1] = byte(f.kind)
	binary.BigEndian.PutUint64(out[lengthSize+2:], f.id)
	copy(out[lengthSize+headerSize:], f.payload)
	return out
}

// reader cuts a byte stream into frames.
type reader struct {
	buffer   []byte
	greeted  bool
	maxFrame int
}

// feed takes the next bytes of the stream and passes each whole frame to emit.
func (r *reader) feed(data []byte, emit func(frame)) error {
	r.buffer = append(r.buffer, data...)
	if !r.greeted {
		if len(r.buffer) < len(preamble) {
			return nil
		}
		if string(r.buffer[:len(preamble)]) != preamble {
			return errNotPeer
		}
		r.buffer = r.buffer[len(preamble):]
		r.greeted = true
	}
	for len(r.buffer) >= lengthSize {
		size := int(binary.BigEndian.Uint32(r.buffer))
		if size < headerSize || size > r.maxFrame {
			return errors.Wrapf(errFrameSize, "%d bytes", size)
		}
		if len(r.buffer) < lengthSize+size {
			break
		}
		next, err := decode(r.buffer[lengthSize : lengthSize+size])
		if err != nil {
			return err
		}
		r.buffer = r.buffer[lengthSize+size:]
		emit(next)
	}
	if len(r.buffer) == 0 {
		r.buffer = nil
	}
	return nil
}

// decode copies the payload, since the stream's buffer is used again.
func decode(body []byte) (frame, error) {
	f := frame{
		form:    form(body[0]),
		kind:    Kind(body[1]),
		id:      binary.BigEndian.Uint64(body[2:]),
		payload: append([]byte(nil), body[headerSize:]...),
	}
	if f.form == 0 || f.form > formLast {
		return frame{}, errors.Wrapf(errFrameForm, "%d", f.form)
	}
	return f, nil
}
