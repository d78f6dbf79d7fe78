package multicast

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// reach returns how many hops reach all receivers, and counts how often each gets the message.
func reach(receivers []int, got map[int]int) (hops int) {
	for _, part := range Split(receivers) {
		got[part[0]]++
		hops = max(hops, 1+reach(part[1:], got))
	}
	return hops
}

// TestSplit guards against hosts that a message doesn't reach, or reaches twice, and against more hops as the fleet grows.
func TestSplit(t *testing.T) {
	for _, c := range []struct {
		receivers, hops int
	}{
		{0, 0},
		{1, 1},
		{16, 1},
		{17, 2},
		{272, 2},
		{501, 3},
		{3400, 3},
	} {
		Convey("A message reaches every host once, in few hops", t, func() {
			receivers, got := make([]int, c.receivers), map[int]int{}
			for i := range receivers {
				receivers[i] = i
			}
			So(reach(receivers, got), ShouldEqual, c.hops)
			So(got, ShouldHaveLength, c.receivers)
			for _, times := range got {
				So(times, ShouldEqual, 1)
			}
		})
	}
}
