package split

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

func TestShares(t *testing.T) {
	// Guards against random shares: in a small fleet, a new version of a service that is given a tenth of the
	// traffic would receive twice as much or nothing in the first seconds.
	Convey("Each part receives its share of the requests to within 1.5 requests, from the first request on", t, func() {
		for _, tc := range []struct {
			weights []int
			initial float64
		}{{[]int{90, 10}, 0}, {[]int{90, 10}, 0.99}, {[]int{1, 1, 2}, 0.5}, {[]int{0, 5}, 0.3}, {[]int{7, 0}, 0.3}} {
			s := New(func() float64 { return tc.initial })
			r := &routing.Route{Name: "r"}
			total := 0
			for i, w := range tc.weights {
				r.Parts = append(r.Parts, routing.Part{Service: string(rune('a' + i)), Weight: w})
				total += w
			}
			got := map[string]int{}
			for n := 1; n <= 3*total; n++ {
				got[s.Pick(r)]++
				for _, p := range r.Parts {
					So(float64(got[p.Service]), ShouldAlmostEqual, float64(n*p.Weight)/float64(total), 1.5)
				}
			}
		}
	})
	Convey("New weights apply from the next request on", t, func() {
		s := New(func() float64 { return 0 })
		r := &routing.Route{Name: "r", Parts: []routing.Part{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}}
		So(s.Pick(r), ShouldEqual, "a")
		r = &routing.Route{Name: "r", Parts: []routing.Part{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}
		So(s.Pick(r), ShouldEqual, "b")
	})
}
