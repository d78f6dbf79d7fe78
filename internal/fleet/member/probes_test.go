package member

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// checkInterval is how often the control goroutine asks which hosts to probe.
const checkInterval = 100 * time.Millisecond

// Regions are partitioned for an hour. A daemon keeps choosing neighbours in the other regions, so by the end it has a
// thousand suspects. Probed every 2 s each, they would cost every daemon 500 connections a second, just when the fleet
// is in trouble. And after the partition all of them must get work again within seconds.
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
	// probe returns the number of probes; hosts that answer are no longer suspects.
	probe := func(table *Table, from, to time.Duration, answers bool) (probes int) {
		for at := from; at < to; at += checkInterval {
			for _, h := range table.DueProbes(start.Add(at)) {
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
	Convey("Few suspects are probed every 2 s", t, func() {
		So(probe(suspects(10), 0, time.Minute, false), ShouldBeBetweenOrEqual, 10*27, 10*30)
	})
	Convey("Many suspects are probed in turn, ten a second in all, and none is left out", t, func() {
		table := suspects(count)
		So(probe(table, 0, time.Minute, false), ShouldBeBetweenOrEqual, 500, 600)
		probe(table, time.Minute, 105*time.Second, false)
		for name := range table.failing {
			So(table.states[name].failures, ShouldBeGreaterThan, suspectFailures)
		}
	})
	Convey("Once one suspect answers, all are probed and cleared soon", t, func() {
		table := suspects(count)
		probe(table, 0, time.Minute, false)
		probe(table, time.Minute, 75*time.Second, true)
		_, suspects := table.View(start.Add(75 * time.Second)).Counts()
		So(suspects, ShouldEqual, 0)
	})
}

// Several hosts fail at the same moment. If they were probed in a different order each time, runs of a fault schedule
// with the same seed would differ, and a fault that one of them found could not be reproduced.
func TestOrderOfProbes(t *testing.T) {
	Convey("Hosts that failed alike are probed in the order of their names", t, func() {
		start, table, all := time.Now(), New(), []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		table.SetHosts(hosts(all...))
		for _, name := range all {
			table.Failed(name, start)
		}
		var tried []string
		for _, h := range table.DueProbes(start.Add(probeInterval)) {
			tried = append(tried, h.Host)
		}
		So(tried, ShouldResemble, all)
	})
}
