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
	formLast = formCancel
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
	out := make([]byte, lengthSize+headerSize+len(f.payload))
	binary.BigEndian.PutUint32(out, uint32(headerSize+len(f.payload)))
	out[lengthSize] = byte(f.form)
	out[lengthSize+1] = byte(f.kind)
	binary.BigEndian.PutUint64(out[lengthSize+2:], f.id)
	copy(out[lengthSize+headerSize:], f.payload)
	return out
}

// reader cuts a byte stream into frames. Each payload is read straight into a
// buffer of its own size, so that a large body is held once.
type reader struct {
	head     []byte
	next     frame
	filled   int
	inBody   bool
	maxFrame int
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
			whole := r.next
			*r = reader{maxFrame: r.maxFrame, head: r.head[:0]}
			emit(whole)
		}
	}
	return nil
}

// open gathers a frame's head, and checks it before any memory is set aside for what follows.
func (r *reader) open(data []byte) ([]byte, error) {
	n := min(len(data), lengthSize+headerSize-len(r.head))
	r.head = append(r.head, data[:n]...)
	if len(r.head) >= lengthSize {
		size := int(binary.BigEndian.Uint32(r.head))
		if size < headerSize || size > r.maxFrame {
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
	r.next.payload = make([]byte, int(binary.BigEndian.Uint32(r.head))-headerSize)
	r.inBody = true
	return data[n:], nil
}

func (r *reader) fill(data []byte) []byte {
	n := copy(r.next.payload[r.filled:], data)
	r.filled += n
	return data[n:]
}
