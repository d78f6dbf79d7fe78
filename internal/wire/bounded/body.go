package bounded

import (
	"bytes"
	"context"
	"io"
	"net/netip"
)

// Source is a message whose body is about to be read.
type Source struct {
	Purpose Purpose
	// To is who the message goes to, invalid if that takes no share of the memory.
	To netip.Addr
	// Length is the body's length, below 0 if it is unknown, and MaxLength the longest that is read.
	Length, MaxLength int64
}

// ReadBody reads a body to its end and returns it with the memory that is held for it. It reads no further than there is memory, so that the sender has
// to hold back what there is none for.
func (a *Account) ReadBody(ctx context.Context, from io.Reader, s Source) ([]byte, *Hold, error) {
	switch {
	case s.Length > s.MaxLength:
		return nil, nil, ErrTooLarge
	case s.Length == 0:
		return nil, nil, nil
	case s.Length < 0:
		return a.readToEnd(ctx, from, s)
	}
	hold, err := a.Await(ctx, s.Purpose, s.To, s.Length)
	if err != nil {
		return nil, nil, err
	}
	raw := make([]byte, s.Length)
	if _, err := io.ReadFull(from, raw); err != nil {
		hold.Release()
		return nil, nil, err
	}
	return raw, hold, nil
}

// readToEnd reads a body of unknown length. Until its end it holds memory for the next of three lengths, at last for the longest: of two bodies
// that grew bit by bit, each could wait for the memory that the other has.
func (a *Account) readToEnd(ctx context.Context, from io.Reader, s Source) (raw []byte, hold *Hold, err error) {
	for _, stage := range []struct {
		purpose Purpose
		length  int64
	}{{s.Purpose, SmallBytes}, {Growing, growingBytes}, {s.Purpose, max(a.limits.Each, growingBytes)}} {
		length := min(stage.length, s.MaxLength)
		if length <= int64(len(raw)) {
			continue
		}
		next, err := a.Await(ctx, stage.purpose, s.To, length)
		if err != nil {
			hold.Release()
			return nil, nil, err
		}
		hold.Release()
		hold = next
		raw, err = readUpTo(from, raw, length)
		if err == io.EOF { // an error that wraps io.EOF is not the end of the message.
			return a.settle(ctx, raw, hold, s)
		}
		if err != nil {
			hold.Release()
			return nil, nil, err
		}
	}
	if more, err := fill(from, make([]byte, 1)); err != io.EOF || len(more) > 0 {
		hold.Release()
		return nil, nil, ErrTooLarge
	}
	return a.settle(ctx, raw, hold, s)
}

const (
	// growingBytes is the size in bytes of the beginning of a body of unknown length for which the memory of the whole isn't held yet.
	growingBytes = 1 << 20
	// minBuffer is the size in bytes of the first buffer of a body of unknown length.
	minBuffer = 4 << 10
)

// readUpTo reads up to a length, or to an error. The buffer for a large body is allocated once: one that grew would need twice its size to be copied.
func readUpTo(from io.Reader, raw []byte, length int64) ([]byte, error) {
	for int64(len(raw)) < length {
		if len(raw) == cap(raw) {
			size := length
			if length <= growingBytes {
				size = min(max(2*int64(len(raw)), minBuffer), length)
			}
			raw = append(make([]byte, 0, size), raw...)
		}
		more, err := fill(from, raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+len(more)]
		if err != nil {
			return raw, err
		}
	}
	return raw, nil
}

// settle leaves only the memory held that the whole body needs. One that is much shorter than its buffer is copied, if there is memory for that.
func (a *Account) settle(ctx context.Context, raw []byte, hold *Hold, s Source) ([]byte, *Hold, error) {
	total := int64(len(raw))
	if 2*total <= int64(cap(raw)) {
		if copied, ok := a.TryTake(Joining, total); ok {
			raw = bytes.Clone(raw)
			copied.Release()
		}
	}
	needed := min(int64(cap(raw)), hold.Bytes())
	if hold.purpose == s.Purpose {
		hold.TryResize(needed)
		return raw, hold, nil
	}
	whole, err := a.Await(ctx, s.Purpose, s.To, needed)
	hold.Release()
	if err != nil {
		return nil, nil, err
	}
	return raw, whole, nil
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
