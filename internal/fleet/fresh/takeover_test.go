package fresh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTakeover guards against a store that is read by a whole fleet at once, and against a daemon alone that never reads it.
func TestTakeover(t *testing.T) {
	start := time.Unix(1000, 0)
	// dueWithin returns how many daemons of a fleet read the store within the time.
	dueWithin := func(size, known int, d time.Duration) int {
		rng := rand.New(rand.NewPCG(3, uint64(size)))
		due := 0
		for range size {
			takeover := NewTakeover(rng.Float64)
			takeover.Due(known, start)
			if takeover.Due(known, start.Add(d)) {
				due++
			}
		}
		return due
	}
	for _, size := range []int{300, 985, 1970, 3422} {
		Convey(fmt.Sprintf("Of %d daemons, about as many begin to read as of any other number, and all do in the end", size), t, func() {
			So(dueWithin(size, size, doublingTime), ShouldBeBetween, firstReaders/2, firstReaders*2)
			So(dueWithin(size, size, 2*doublingTime), ShouldBeBetween, firstReaders*2, firstReaders*5)
			So(dueWithin(size, size, 4*time.Second), ShouldEqual, size)
			So(dueWithin(size, 0, doublingTime), ShouldBeLessThan, 8)
			So(dueWithin(size, 0, 6*time.Second), ShouldEqual, size)
		})
	}
	Convey("A takeover that has begun is due until it is reset, and the next wait is drawn anew", t, func() {
		takeover := NewTakeover(func() float64 { return 0.5 })
		takeover.Begin(start)
		So(takeover.Due(985, start), ShouldBeTrue)
		takeover.Reset()
		So(takeover.Due(985, start.Add(time.Hour)), ShouldBeFalse)
		remaining := takeover.Remaining(985, start.Add(time.Hour))
		So(remaining, ShouldBeGreaterThan, 0)
		So(takeover.Due(985, start.Add(time.Hour+remaining)), ShouldBeTrue)
	})
}
