package member

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lookEvery is how often the control thread asks whom to probe.
const lookEvery = 100 * time.Millisecond

// Regions are apart for an hour. A daemon keeps neighbours in the others, so that one suspect after the other is found
// there, and by the end it knows a thousand. Tried every 2 s each, they would cost every daemon 500 connections a
// second, just when the fleet is in trouble. And after the heal all of them are to get work again within seconds.
func TestProbesOfManySuspects(t *testing.T) {
	const count = 1000
	start := time.Now()
	suspects := func(count int) *Table {
		table, all := New(), []string{}
		for i := range count {
			all = append(all, fmt.Sprint(i))
		}
		table.SetHosts(hosts(all...))
		for _, name := range all {
			table.Failed(name, start)
			table.Failed(name, start)
		}
		return table
	}
	// probe returns how many probes there were; each that answers is cleared.
	probe := func(table *Table, from, to time.Duration, answers bool) (probes int) {
		for at := from; at < to; at += lookEvery {
			for _, h := range table.Doubtful(start.Add(at)) {
				probes++
				if answers {
					table.Reached(h.Host)
				} else {
					table.Failed(h.Host, start.Add(at))
				}
			}
		}
		return probes
	}
	Convey("Few suspects are tried every 2 s", t, func() {
		So(probe(suspects(10), 0, time.Minute, false), ShouldBeBetweenOrEqual, 10*27, 10*30)
	})
	Convey("Many are tried in turn, ten a second in all, and none is left out", t, func() {
		table := suspects(count)
		So(probe(table, 0, time.Minute, false), ShouldBeBetweenOrEqual, 500, 600)
		probe(table, time.Minute, 105*time.Second, false)
		for name := range table.failing {
			So(table.seen[name].failures, ShouldBeGreaterThan, suspectAfter)
		}
	})
	Convey("Once one answers, all are back soon", t, func() {
		table := suspects(count)
		probe(table, 0, time.Minute, false)
		probe(table, time.Minute, 75*time.Second, true)
		_, left := table.View(start.Add(75 * time.Second)).Counts()
		So(left, ShouldEqual, 0)
	})
}

// Several hosts fail in the same moment. Were they tried in another order each time, a schedule of faults with the same
// seed would take another course with each run, and a fault that it found could not be found again.
func TestOrderOfProbes(t *testing.T) {
	Convey("Hosts that failed alike are tried in the order of their names", t, func() {
		start, table, all := time.Now(), New(), []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		table.SetHosts(hosts(all...))
		for _, name := range all {
			table.Failed(name, start)
		}
		var tried []string
		for _, h := range table.Doubtful(start.Add(probeEvery)) {
			tried = append(tried, h.Host)
		}
		So(tried, ShouldResemble, all)
	})
}
