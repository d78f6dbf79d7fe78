package peer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReader(t *testing.T) {
	whole := frame{form: formRequest, kind: KindCall, id: 7, payload: []byte("hello")}
	stream := append([]byte(preamble), whole.encode()...)
	stream = append(stream, whole.encode()...)
	Convey("Frames are found however the stream is cut", t, func() {
		for step := 1; step <= len(stream); step++ {
			r := reader{maxFrame: 100}
			var got []frame
			for at := 0; at < len(stream); at += step {
				So(r.feed(stream[at:min(at+step, len(stream))], func(f frame) { got = append(got, f) }), ShouldBeNil)
			}
			So(got, ShouldResemble, []frame{whole, whole})
		}
	})
	bad := []struct {
		name   string
		stream string
		want   error
	}{
		{"another protocol", "GET / HTTP/1.1\r\n", errNotPeer},
		{"too long", preamble + "\xff\xff\xff\xff", errFrameSize},
		{"too short", preamble + "\x00\x00\x00\x01", errFrameSize},
		{"unknown form", preamble + "\x00\x00\x00\x0a\x09\x01\x00\x00\x00\x00\x00\x00\x00\x00", errFrameForm},
	}
	Convey("Bytes that are no frame are an error", t, func() {
		for _, b := range bad {
			r := reader{maxFrame: 100}
			So(r.feed([]byte(b.stream), func(frame) {}), ShouldWrap, b.want)
		}
	})
}
