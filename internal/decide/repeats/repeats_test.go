package repeats

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFleetStaysWithinTheBound(t *testing.T) {
	// Every instance of a service turns everything away, and every daemon would like to repeat every request at
	// once. The service would get twice its load at the moment at which it can bear least.
	Convey("All daemons together repeat less than the bound in every window", t, func() {
		bounds := Bounds{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		for _, daemons := range []int{1, 14, 72} {
			rng := rand.New(rand.NewPCG(1, uint64(daemons)))
			fleet := make([]*Budget, daemons)
			for i := range fleet {
				fleet[i] = New(bounds)
				fleet[i].Share(daemons)
			}
			var requests, repeats []time.Duration
			start := time.Unix(0, 0)
			for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
				d := fleet[rng.IntN(daemons)]
				requests = append(requests, at)
				d.Earn("s", start.Add(at))
				for range 3 {
					if d.Spend("s", start.Add(at)) {
						repeats = append(repeats, at)
					}
				}
			}
			for from := time.Duration(0); from < 30*time.Second; from += time.Second {
				So(within(repeats, from, bounds.Window), ShouldBeLessThanOrEqualTo,
					bounds.Ratio*within(requests, from, bounds.Window)+bounds.Slack)
			}
			So(len(repeats), ShouldBeGreaterThan, len(requests)/20)
		}
	})
}

func TestRepeatsFromAbove(t *testing.T) {
	// Lookups are repeated to the bound, and each calls a second service once. That one fails too, and its calls would be
	// repeated to the bound as well: twice the bound in all.
	Convey("What repeated runs call counts against the repeats of the service that they call", t, func() {
		bounds := Bounds{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		rng := rand.New(rand.NewPCG(1, 9))
		above, below := New(bounds), New(bounds)
		start := time.Unix(0, 0)
		requests, repeats := 0, 0
		for at := time.Duration(0); at < 60*time.Second; at += 10 * time.Millisecond {
			now := start.Add(at)
			above.Earn("a", now)
			below.Earn("b", now)
			requests++
			if above.Spend("a", now) {
				below.Charge("b", now)
				repeats++
			}
			if rng.Float64() < 0.9 && below.Spend("b", now) {
				repeats++
			}
		}
		So(float64(repeats), ShouldBeLessThan, bounds.Ratio*float64(requests)+bounds.Slack*6)
	})
}

func within(all []time.Duration, from, window time.Duration) float64 {
	n := 0.0
	for _, at := range all {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}
