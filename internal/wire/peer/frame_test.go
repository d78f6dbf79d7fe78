package peer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReader(t *testing.T) {
	full := frame{form: formRequest, kind: KindCall, id: 7, payload: []byte("hello")}
	empty := frame{form: formCancel, kind: KindCall, id: 8, payload: []byte{}}
	stream := append(full.encode(), empty.encode()...)
	stream = append(stream, full.encode()...)
	Convey("Frames are decoded however the stream is split", t, func() {
		for step := 1; step <= len(stream); step++ {
			r := frameReader{maxFrame: 100}
			var got []frame
			for offset := 0; offset < len(stream); offset += step {
				So(r.feed(stream[offset:min(offset+step, len(stream))], func(f frame) { got = append(got, f) }), ShouldBeNil)
			}
			So(got, ShouldResemble, []frame{full, empty, full})
		}
	})
	bad := []struct {
		name   string
		stream string
		want   error
	}{
		{"too long", "\xff\xff\xff\xff", errFrameSize},
		{"too short", "\x00\x00\x00\x01", errFrameSize},
		{"unknown form", "\x00\x00\x00\x0a\x0b\x01\x00\x00\x00\x00\x00\x00\x00\x00", errFrameForm},
	}
	Convey("Invalid frames are an error", t, func() {
		for _, b := range bad {
			r := frameReader{maxFrame: 100}
			So(r.feed([]byte(b.stream), func(frame) {}), ShouldWrap, b.want)
		}
	})
}

// grantingReader returns a reader that grants each offer at once.
func grantingReader(maxFrame int) *frameReader {
	r := &frameReader{maxFrame: maxFrame}
	r.offered = func(o offer) { r.assembler.grant(o.stream, o.size, nil) }
	return r
}

func FuzzReader(f *testing.F) {
	one := frame{form: formRequest, kind: KindCall, id: 7, payload: []byte("hello")}
	f.Add(one.encode(), 3)
	f.Add(append(one.encode(), one.encode()...), 5)
	f.Add([]byte("\x00\x00\x00\x0a\x0b\x01\x00\x00\x00\x00\x00\x00\x00\x00"), 1)
	f.Add([]byte("\xff\xff\xff\xff"), 1)
	f.Add(inPieces(one, 1, 2), 4)
	f.Add(append(inPieces(one, 1, 2)[:40], inPieces(one, 2, 5)...), 3)
	drop := frame{form: formDrop, id: 1}
	f.Add(append(one.appendOffer(nil, 1), (&frame{form: formPiece, id: 1, payload: one.payload}).encode()...), 6)
	f.Add(append(inPieces(one, 1, 2)[:45], drop.encode()...), 7)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		const maxFrame = 1 << 16
		step = min(max(step, 1), max(len(stream), 1))
		whole, split := grantingReader(maxFrame), grantingReader(maxFrame)
		var want, got []frame
		wantErr := whole.feed(stream, func(f frame) { want = append(want, f) })
		var gotErr error
		for offset := 0; offset < len(stream) && gotErr == nil; offset += step {
			gotErr = split.feed(stream[offset:min(offset+step, len(stream))], func(f frame) { got = append(got, f) })
		}
		if (wantErr == nil) != (gotErr == nil) || len(want) != len(got) {
			t.Fatalf("split every %d bytes: %d frames, error %v; unsplit: %d frames, error %v", step, len(got), gotErr, len(want), wantErr)
		}
		for i := range want {
			if want[i].id != got[i].id || string(want[i].payload) != string(got[i].payload) || string(want[i].body) != string(got[i].body) || got[i].size() > maxFrame {
				t.Fatalf("frame %d differs between the split and the unsplit stream or exceeds the maximum size", i)
			}
		}
	})
}
