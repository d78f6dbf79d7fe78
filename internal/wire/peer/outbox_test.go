package peer

import (
	"runtime"
	"testing"
	"weak"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOutboxReleasesSentFrames(t *testing.T) {
	// A removed frame that stays in the backing array of the queue is not collected for as long as the
	// connection lives: after sending a list of 1 MB to six peers, a daemon held 6 MB more.
	cases := []struct {
		name    string
		frames  int
		dropped bool
	}{
		{"one frame", 1, false},
		{"two frames", 2, false},
		{"one frame dropped before it is sent", 1, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			var box outbox
			frames := make([]weak.Pointer[outgoing], c.frames)
			for i := range frames {
				o := newOutgoing(frame{payload: make([]byte, pieceSize+1)}, false)
				frames[i] = weak.Make(o)
				box.add(o)
				if c.dropped {
					box.drop(o)
				}
			}
			for o, _ := box.next(1 << 20); o != nil; o, _ = box.next(1 << 20) {
				box.pieceSent(o, true)
			}
			runtime.GC()
			for _, f := range frames {
				So(f.Value() == nil, ShouldBeTrue)
			}
			runtime.KeepAlive(&box)
		})
	}
}
