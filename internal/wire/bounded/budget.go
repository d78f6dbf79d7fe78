package bounded

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

var (
	// ErrTooLarge means that a message is larger than one may be.
	ErrTooLarge = errors.New("bounded: message too large")
	// ErrFull means that the messages that arrive now are together larger than all may be.
	ErrFull = errors.New("bounded: too many bytes arrive at once")
)

// Budget bounds the bytes that are held at once. It may be used by several goroutines.
type Budget struct {
	max int64

	mu   sync.Mutex
	held int64
	// free has pieces of maxPiece that were given back while other messages arrive: as garbage, they would add up beyond the bound.
	free [][]byte
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget { return &Budget{max: bytes} }

// take takes bytes from the budget; false means that it hasn't as many left.
func (b *Budget) take(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+int64(bytes) > b.max {
		return false
	}
	b.held += int64(bytes)
	return true
}

// give gives bytes back, and with them pieces that aren't used any more.
func (b *Budget) give(bytes int, pieces [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= int64(bytes)
	for _, piece := range pieces {
		if cap(piece) == maxPiece {
			b.free = append(b.free, piece[:maxPiece])
		}
	}
	if b.held == 0 {
		b.free = nil
	}
}

// piece returns a piece of the size, which is taken from the budget already.
func (b *Budget) piece(size int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.free) - 1
	if size < maxPiece || last < 0 {
		return make([]byte, size)
	}
	piece := b.free[last]
	b.free[last], b.free = nil, b.free[:last]
	return piece
}

const (
	// minPiece and maxPiece are the sizes in bytes of the first piece of a message of unknown length and of the largest one. A message in pieces is
	// copied once, where a buffer that grows would be copied again and again and leave twice its size as garbage.
	minPiece = 4 << 10
	maxPiece = 1 << 20
)

// ReadAll reads a message to its end, up to maxBytes. It takes memory from the budget as bytes arrive, and gives it back when it returns.
func (b *Budget) ReadAll(from io.Reader, maxBytes int64) ([]byte, error) {
	var pieces [][]byte
	total, taken := int64(0), 0
	defer func() { b.give(taken, pieces) }()
	for size := minPiece; ; size = min(2*size, maxPiece) {
		if !b.take(size) {
			return nil, ErrFull
		}
		taken += size
		piece, err := fill(from, b.piece(size))
		pieces, total = append(pieces, piece), total+int64(len(piece))
		switch {
		case total > maxBytes:
			return nil, ErrTooLarge
		case err == io.EOF: // an error that wraps io.EOF is not the end of the message.
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill fills the piece, or the beginning of it before an error, which it returns.
func fill(from io.Reader, piece []byte) ([]byte, error) {
	filled := 0
	for filled < len(piece) {
		n, err := from.Read(piece[filled:])
		filled += n
		if err != nil {
			return piece[:filled], err
		}
	}
	return piece, nil
}

// Take takes memory for a message of known length from the budget, and returns how to give it back, or false if it hasn't as much left.
func (b *Budget) Take(bytes int) (give func(), ok bool) {
	if !b.take(bytes) {
		return nil, false
	}
	return func() { b.give(bytes, nil) }, true
}
