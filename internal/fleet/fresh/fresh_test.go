package fresh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStoreThatTurnsTheCollectorAway(t *testing.T) {
	// The store turns the collector away just as all keys of a customer are withdrawn. The others could read it, but
	// believe the collector for as long as it says nothing: the keys work on for three seconds and more.
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		// answered are the times at which the store answers the collector, failed that of its first failure, 0 for none.
		answered []int
		failed   int
		// asked is when the daemon asks the collector, and looked when it looks whether it can rely on it.
		asked, looked int
		current       bool
	}{
		{"nothing heard", nil, 0, 0, 1, false},
		{"a watch that ends in time", []int{0, 900}, 0, 1000, 1100, true},
		{"old when it was told, and not renewed", []int{0}, 0, 1200, 1350, false},
		{"silent: the age is told, and counts against it", []int{0}, 0, 1290, 1310, false},
		{"turned away: told at once", []int{0}, 50, 60, 61, false},
		{"turned away, and served again", []int{0, 300}, 50, 310, 400, true},
	} {
		Convey(c.name, t, func() {
			var collector, daemon State
			failed := c.failed
			for _, ms := range c.answered {
				if failed > 0 && ms > failed {
					collector.Failed()
					failed = 0
				}
				collector.Answered(at(ms))
			}
			if failed > 0 {
				collector.Failed()
			}
			daemon.ObserveCollector(at(c.asked), collector.Age(at(c.asked)))
			So(daemon.Current(at(c.looked)), ShouldEqual, c.current)
		})
	}
	Convey("A word that isn't current takes back an earlier one that was", t, func() {
		var daemon State
		daemon.ObserveCollector(start, 0)
		So(daemon.Current(at(100)), ShouldBeTrue)
		daemon.ObserveCollector(at(110), Stale)
		So(daemon.Current(at(120)), ShouldBeFalse)
	})
}

// TestReadersThatVouchForTheCollector guards against all daemons following the store themselves while it turns the collector away and serves
// other readers: thousands of calls in some seconds.
func TestReadersThatVouchForTheCollector(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	Convey("What another reader has heard counts as the collector's, as old as it is", t, func() {
		var collector, daemon State
		collector.Answered(at(0))
		collector.Failed()
		So(collector.BestAge(at(100)), ShouldEqual, Stale)
		collector.ObserveReader(at(200), 50*time.Millisecond)
		So(collector.BestAge(at(300)), ShouldEqual, 150*time.Millisecond)
		daemon.ObserveCollector(at(300), collector.BestAge(at(300)))
		So(daemon.Current(at(400)), ShouldBeTrue)
	})
	Convey("An older word takes nothing back, and the collector's own goes before it", t, func() {
		var collector State
		collector.ObserveReader(at(200), 0)
		collector.ObserveReader(at(210), Stale)
		So(collector.BestAge(at(300)), ShouldEqual, 100*time.Millisecond)
		collector.Answered(at(290))
		So(collector.BestAge(at(300)), ShouldEqual, 10*time.Millisecond)
	})
}
