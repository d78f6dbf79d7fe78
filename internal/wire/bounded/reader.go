package bounded

import "io"

// Reader reads from another reader, up to a bound while there is one.
type Reader struct {
	from    io.Reader
	left    int64
	bounded bool
}

// NewReader returns a reader without a bound.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Bound allows so many further bytes.
func (r *Reader) Bound(bytes int64) { r.left, r.bounded = bytes, true }

// Unbound removes the bound.
func (r *Reader) Unbound() { r.bounded = false }

// Read implements io.Reader. Its error is ErrTooLarge when the bound is reached.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.from.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
