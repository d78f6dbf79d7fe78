package chain

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against lowering the limit of an upper service for a fault below it. The lower service hangs, so sub-calls are still
// open when requests reach their deadline; were they counted as the upper service's own time, its limit would drop, and
// callers would be rejected for seconds after the fault. The daemon doesn't count them either.
func TestOpenSubcallsAreNotOwnTime(t *testing.T) {
	Convey("A hanging lower service doesn't reduce the limit of the upper one", t, func() {
		d, p := Deep(2, 1), Ours()
		// The limit is at most the number of slots, so that nothing queues in the instance, which would count as own time.
		p.Ceiling = 1
		f := newFleet(d, p, 7)
		start, deep := f.clock.Now, f.hostsByService[d.lastService()]
		Experiment{Deployment: d}.callers(f, &tally{start: start, organisations: make([]counts, len(d.Demand))}, 0, d.rate())
		f.clock.Run(start.Add(rampUp))
		upper := f.hostsByName[f.hostsByService[d.Operations[0].Path[0]][0].Host]
		before := upper.gate.Load().Limit
		f.slow(deep, 1000)
		f.clock.Run(f.clock.Now.Add(4 * time.Second))
		So(upper.gate.Load().Limit, ShouldBeGreaterThanOrEqualTo, before)
	})
}
