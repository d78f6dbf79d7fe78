package bounded

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// endless is a message without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestReadBody guards against a message without end, or several at once, that take the process beyond its memory, and against a message that was cut
// off and is taken for a whole one.
func TestReadBody(t *testing.T) {
	cut := errors.Wrap(io.EOF, "cut off")
	for _, c := range []struct {
		name     string
		from     io.Reader
		maxBytes int64
		held     int64
		length   int
		err      error
	}{
		{"empty", strings.NewReader(""), 10, 0, 0, nil},
		{"of the largest size", strings.NewReader(strings.Repeat("x", 3*minBuffer)), 3 * minBuffer, 0, 3 * minBuffer, nil},
		{"in small parts", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 2*minBuffer))), 1 << 20, 0, 2 * minBuffer, nil},
		{"that ends with its last bytes", iotest.DataErrReader(strings.NewReader("abc")), 10, 0, 3, nil},
		{"a byte too large", strings.NewReader(strings.Repeat("x", 3*minBuffer+1)), 3 * minBuffer, 0, 0, ErrTooLarge},
		{"without end", endless{}, 1 << 20, 0, 0, ErrTooLarge},
		{"beside others", endless{}, 8 << 20, 4 << 20, 0, context.DeadlineExceeded},
		{"that is cut off", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, 0, 0, io.ErrUnexpectedEOF},
		{"that ends with an error which wraps the end", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(cut)), 10, 0, 0, cut},
	} {
		Convey("A message "+c.name, t, func() {
			a := NewAccount(Limits{Total: 6 << 20, Each: 4 << 20, Small: 1 << 20})
			held, ok := a.TryTake(InstanceResponse, c.held)
			So(ok, ShouldBeTrue)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			raw, hold, err := a.ReadBody(ctx, c.from, Source{Purpose: InstanceResponse, Length: -1, MaxLength: c.maxBytes})
			So(err, ShouldEqual, c.err)
			So(raw, ShouldHaveLength, c.length)
			So(hold.Bytes(), ShouldBeGreaterThanOrEqualTo, c.length)
			So(hold.Bytes(), ShouldBeLessThanOrEqualTo, max(2*c.length, minBuffer))
			So(a.Held(), ShouldEqual, c.held+hold.Bytes())
			held.Release()
			hold.Release()
			So(a.Held(), ShouldEqual, 0)
		})
	}
	Convey("A body of known length is read once there is memory for it", t, func() {
		a := NewAccount(Limits{Total: 6 << 20, Each: 4 << 20, Small: 1 << 20})
		held, _ := a.TryTake(InstanceResponse, 2<<20)
		sent := strings.NewReader(strings.Repeat("x", 3<<20))
		go func() {
			time.Sleep(20 * time.Millisecond)
			if sent.Len() == 3<<20 {
				held.Release()
			}
		}()
		raw, hold, err := a.ReadBody(t.Context(), sent, Source{Purpose: InstanceResponse, Length: 3 << 20, MaxLength: 8 << 20})
		So(err, ShouldBeNil)
		So(raw, ShouldHaveLength, 3<<20)
		So(hold.Bytes(), ShouldEqual, 3<<20)
		_, _, err = a.ReadBody(t.Context(), sent, Source{Purpose: InstanceResponse, Length: 8<<20 + 1, MaxLength: 8 << 20})
		So(err, ShouldEqual, ErrTooLarge)
		_, hold, err = a.ReadBody(t.Context(), strings.NewReader("short"), Source{Purpose: CallerResponse, Length: 6, MaxLength: 8})
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		So(hold, ShouldBeNil)
	})
	Convey("The bytes are those that were sent", t, func() {
		sent := make([]byte, 5*growingBytes+7)
		for i := range sent {
			sent[i] = byte(i * 31)
		}
		raw, _, err := NewAccount(LimitsOf(288<<20)).ReadBody(t.Context(), bytes.NewReader(sent), Source{Purpose: InstanceResponse, Length: -1, MaxLength: 64 << 20})
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
