package bounded

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// endless is a message without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestReadAll guards against a message without end, or several at once, that take the process beyond its memory, and against a message that was cut
// off and is taken for a whole one.
func TestReadAll(t *testing.T) {
	cut := errors.Wrap(io.EOF, "cut off")
	for _, c := range []struct {
		name     string
		from     io.Reader
		maxBytes int64
		held     int
		length   int
		err      error
	}{
		{"empty", strings.NewReader(""), 10, 0, 0, nil},
		{"of the largest size", strings.NewReader(strings.Repeat("x", 3*minPiece)), 3 * minPiece, 0, 3 * minPiece, nil},
		{"in small parts", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 2*minPiece))), 1 << 20, 0, 2 * minPiece, nil},
		{"that ends with its last bytes", iotest.DataErrReader(strings.NewReader("abc")), 10, 0, 3, nil},
		{"a byte too large", strings.NewReader(strings.Repeat("x", 3*minPiece+1)), 3 * minPiece, 0, 0, ErrTooLarge},
		{"without end", endless{}, 1 << 20, 0, 0, ErrTooLarge},
		{"beside others", endless{}, 8 << 20, 3 << 20, 0, ErrFull},
		{"that is cut off", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, 0, 0, io.ErrUnexpectedEOF},
		{"that ends with an error which wraps the end", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(cut)), 10, 0, 0, cut},
	} {
		Convey("A message "+c.name, t, func() {
			b := NewBudget(4 << 20)
			give, ok := b.Take(c.held)
			So(ok, ShouldBeTrue)
			raw, err := b.ReadAll(c.from, c.maxBytes)
			So(err, ShouldEqual, c.err)
			So(raw, ShouldHaveLength, c.length)
			So(b.held, ShouldEqual, c.held)
			give()
			_, ok = b.Take(4<<20 + 1)
			So(ok, ShouldBeFalse)
			So(b.held, ShouldEqual, 0)
			So(b.free, ShouldBeEmpty)
		})
	}
	Convey("The bytes are those that were sent", t, func() {
		sent := make([]byte, 5*maxPiece+7)
		for i := range sent {
			sent[i] = byte(i * 31)
		}
		raw, err := NewBudget(64<<20).ReadAll(bytes.NewReader(sent), 64<<20)
		So(err, ShouldBeNil)
		So(bytes.Equal(raw, sent), ShouldBeTrue)
	})
}

// TestReader guards against a head without end.
func TestReader(t *testing.T) {
	Convey("A reader gives no more than its bound, and all without one", t, func() {
		r := NewReader(endless{})
		r.Bound(10)
		raw, err := io.ReadAll(r)
		So(raw, ShouldHaveLength, 10)
		So(err, ShouldEqual, ErrTooLarge)
		r.Unbound()
		n, err := r.Read(make([]byte, 20))
		So(n, ShouldEqual, 20)
		So(err, ShouldBeNil)
	})
}
