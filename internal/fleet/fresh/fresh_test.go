package fresh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStoreRefusesTheCollector(t *testing.T) {
	// Guards against withdrawn keys that stay valid for three seconds and more: the store refuses the collector just as all keys of an
	// organisation are withdrawn, and the other daemons, which could read them, rely on the collector as long as it reports no failure.
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name string
		// answeredMs are the times at which the store answers the collector, failedMs that of its first failure, 0 for none.
		answeredMs []int
		failedMs   int
		// askedMs is when the daemon asks the collector, checkedMs when it checks whether it can rely on it.
		askedMs, checkedMs int
		current            bool
	}{
		{"no reply received", nil, 0, 0, 1, false},
		{"watch ends in time", []int{0, 900}, 0, 1000, 1100, true},
		{"old when reported, and not renewed", []int{0}, 0, 1200, 1350, false},
		{"no answer from the store: the reported age counts", []int{0}, 0, 1290, 1310, false},
		{"refused: reported at once", []int{0}, 50, 60, 61, false},
		{"refused, then served again", []int{0, 300}, 50, 310, 400, true},
	} {
		Convey(test.name, t, func() {
			var collector, daemon State
			failed := test.failedMs
			for _, ms := range test.answeredMs {
				if failed > 0 && ms > failed {
					collector.RecordFailure()
					failed = 0
				}
				collector.RecordAnswer(at(ms))
			}
			if failed > 0 {
				collector.RecordFailure()
			}
			daemon.ObserveCollector(at(test.askedMs), collector.Age(at(test.askedMs)))
			So(daemon.Current(at(test.checkedMs)), ShouldEqual, test.current)
		})
	}
	Convey("A stale reply revokes an earlier current one", t, func() {
		var daemon State
		daemon.ObserveCollector(start, 0)
		So(daemon.Current(at(100)), ShouldBeTrue)
		daemon.ObserveCollector(at(110), Stale)
		So(daemon.Current(at(120)), ShouldBeFalse)
	})
}

// TestOtherReadersKeepTheCollectorCurrent guards against all daemons following the store themselves while it refuses the collector and
// serves other readers: thousands of calls within seconds.
func TestOtherReadersKeepTheCollectorCurrent(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	Convey("Another reader's answer from the store counts as the collector's, with its age", t, func() {
		var collector, daemon State
		collector.RecordAnswer(at(0))
		collector.RecordFailure()
		So(collector.BestAge(at(100)), ShouldEqual, Stale)
		collector.ObserveReader(at(200), 50*time.Millisecond)
		So(collector.BestAge(at(300)), ShouldEqual, 150*time.Millisecond)
		daemon.ObserveCollector(at(300), collector.BestAge(at(300)))
		So(daemon.Current(at(400)), ShouldBeTrue)
	})
	Convey("An older answer changes nothing, and the collector's own newer answer takes precedence", t, func() {
		var collector State
		collector.ObserveReader(at(200), 0)
		collector.ObserveReader(at(210), Stale)
		So(collector.BestAge(at(300)), ShouldEqual, 100*time.Millisecond)
		collector.RecordAnswer(at(290))
		So(collector.BestAge(at(300)), ShouldEqual, 10*time.Millisecond)
	})
}
