package mesh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

func TestRequestsWithoutRetries(t *testing.T) {
	// Guards against a model whose daemons spend retries on requests that the plan admits without any: those of other requests are then
	// missing in the model, though not in the fleet.
	play := func(noRetryFraction float64) Counts {
		s := Chain(1)
		s.Faults = []Fault{{Duration: time.Minute, Service: "records", DeclineFraction: 0.55}}
		f := newFleet(s)
		h, confirm := f.hosts[0], f.routesByName["confirm"]
		counts := &Counts{}
		for range 200 {
			h.shedder.Apply([]shed.Allocation{{Class: (&request{root: confirm}).class(), AdmitFraction: 1, NoRetryFraction: noRetryFraction}}, f.now())
			f.clock.After(50*time.Millisecond, func() {
				h.serve(&request{
					route: confirm, root: confirm, deadline: f.now().Add(confirm.Timeout), counts: []*Counts{counts},
					done: func(answer) {},
				})
			})
			f.clock.Run(f.now().Add(100 * time.Millisecond))
		}
		return *counts
	}
	Convey("A request that is admitted without retries is sent once", t, func() {
		once, retried := play(1), play(0)
		So(once.Runs, ShouldEqual, 200)
		So(once.Retries, ShouldEqual, 0)
		So(retried.Retries, ShouldBeGreaterThan, 0)
	})
}
