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

type form uint8

const (
	formRequest form = iota + 1
	formAnswer
	formOneWay
	formCancel
	formOpen
	formPiece
	formDrop
	formLast = formDrop
)

type frame struct {
	form    form
	kind    Kind
	id      uint64
	payload []byte
}

var (
	errFrameSize = errors.New("peer: frame length out of bounds")
	errFrameForm = errors.New("peer: unknown frame form")
)

func (f *frame) encode() []byte {
	return f.append(make([]byte, 0, lengthSize+headerSize+len(f.payload)))
}

func (f *frame) append(out []byte) []byte {
	return append(f.appendHead(out, len(f.payload)), f.payload...)
}

func (f *frame) appendHead(out []byte, size int) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(headerSize+size))
	out = append(out, byte(f.form), byte(f.kind))
	return binary.BigEndian.AppendUint64(out, f.id)
}

// reader cuts a byte stream into frames. Each payload is read straight into a
// buffer of its own size, so that a large body is held once.
type reader struct {
	head     []byte
	next     frame
	filled   int
	inBody   bool
	maxFrame int
	pieces   assemblies
}

// feed takes the next bytes of the stream and passes each whole frame to emit.
func (r *reader) feed(data []byte, emit func(frame)) error {
	for len(data) > 0 {
		var err error
		if r.inBody {
			data = r.fill(data)
		} else {
			data, err = r.open(data)
		}
		if err != nil {
			return err
		}
		if r.inBody && r.filled == len(r.next.payload) {
			if err := r.finish(emit); err != nil {
				return err
			}
		}
	}
	return nil
}

// finish takes the frame that has arrived, and passes on what is whole with it.
func (r *reader) finish(emit func(frame)) error {
	f := r.next
	r.next, r.filled, r.inBody, r.head = frame{}, 0, false, r.head[:0]
	switch f.form {
	case formOpen:
		return r.pieces.begin(f, r.maxFrame)
	case formPiece:
		if whole, ok := r.pieces.fill(f.id, len(f.payload)); ok {
			emit(whole)
		}
	case formDrop:
		r.pieces.drop(f.id)
	default:
		emit(f)
	}
	return nil
}

// open gathers a frame's head, and checks it before any memory is set aside for what follows.
func (r *reader) open(data []byte) ([]byte, error) {
	n := min(len(data), lengthSize+headerSize-len(r.head))
	r.head = append(r.head, data[:n]...)
	if len(r.head) >= lengthSize {
		size := int(binary.BigEndian.Uint32(r.head))
		if size < headerSize || size > min(r.maxFrame, headerSize+pieceSize) {
			return nil, errors.Wrapf(errFrameSize, "%d bytes", size)
		}
	}
	if len(r.head) < lengthSize+headerSize {
		return data[n:], nil
	}
	body := r.head[lengthSize:]
	r.next = frame{form: form(body[0]), kind: Kind(body[1]), id: binary.BigEndian.Uint64(body[2:])}
	if r.next.form == 0 || r.next.form > formLast {
		return nil, errors.Wrapf(errFrameForm, "%d", r.next.form)
	}
	payload, err := r.room(int(binary.BigEndian.Uint32(r.head)) - headerSize)
	r.next.payload = payload
	r.inBody = true
	return data[n:], err
}

// room returns where the next frame's payload goes.
func (r *reader) room(size int) ([]byte, error) {
	if r.next.form == formPiece {
		return r.pieces.room(r.next.id, size)
	}
	return make([]byte, size), nil
}

func (r *reader) fill(data []byte) []byte {
	n := copy(r.next.payload[r.filled:], data)
	r.filled += n
	return data[n:]
}
