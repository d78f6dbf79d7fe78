package peer

import (
	"runtime"
	"testing"
	"weak"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSentFramesAreLetGo(t *testing.T) {
	// A daemon hands out a megabyte list over each of its connections while others start. The queue of a
	// connection kept the last frame that had left by it, so the memory of a daemon that was
	// asked by six others stayed six megabytes higher for as long as they were connected.
	cases := []struct {
		name    string
		frames  int
		dropped bool
	}{
		{"one frame", 1, false},
		{"two in turn", 2, false},
		{"one given up before its turn", 1, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			var box outbox
			frames := make([]weak.Pointer[outgoing], c.frames)
			for i := range frames {
				o := &outgoing{frame: frame{payload: make([]byte, pieceSize+1)}}
				frames[i] = weak.Make(o)
				box.add(o)
				if c.dropped {
					box.drop(o)
				}
			}
			for o, _ := box.turn(1 << 20); o != nil; o, _ = box.turn(1 << 20) {
				box.done(o, true)
			}
			runtime.GC()
			for _, f := range frames {
				So(f.Value() == nil, ShouldBeTrue)
			}
			runtime.KeepAlive(&box)
		})
	}
}
