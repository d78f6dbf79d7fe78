package mesh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// limitedRecords returns a fleet in which a part of the instances of the service at the end of its chains limit their rate for ten seconds.
func limitedRecords(seed uint64, fraction, perSecond float64) Scenario {
	s := Chain(seed)
	s.Faults = []Fault{{From: 4 * time.Second, Duration: 10 * time.Second, Service: "records", LimitedFraction: fraction, RateLimit: perSecond}}
	return s
}

// TestLimitedInstances guards against instances in need that get several times the requests a second that they take, and against a fleet that
// begins more than a service whose instances all limit their rate can finish.
func TestLimitedInstances(t *testing.T) {
	const from, to, until = 7 * time.Second, 14 * time.Second, 20 * time.Second
	Convey("Where the other instances have room, the limits hold and callers notice nothing", t, func() {
		for _, c := range []struct{ fraction, minWorth float64 }{{0.2, 0.95}, {0.4, 0.9}} {
			for _, perSecond := range []float64{0.5, 3.5, 20} {
				for _, seed := range seeds {
					r := Simulate(limitedRecords(seed, c.fraction, perSecond), until)
					So(r.LimitUse, ShouldBeBetweenOrEqual, 0, 1)
					So(worthBetween(r, from, to), ShouldBeGreaterThan, c.minWorth)
				}
			}
		}
	})
	Convey("Where all of a service are limited, the most urgent is served, the rest is refused before it is begun, and all is served afterwards", t, func() {
		// The limits allow 600 of 1,092 requests a second; notices need 292 of them, confirmations 24, and each lookup four.
		const lookups = (600 - 292 - 24) / 4.0 / 194
		var sum struct{ notices, lookups, failed float64 }
		for _, seed := range seeds {
			r := Simulate(limitedRecords(seed, 1, 120), until)
			So(r.LimitUse, ShouldBeBetweenOrEqual, 0, 1)
			notice, lookup := r.Between("notice", from, to), r.Between("lookup", from, to)
			sum.notices += notice.Goodput() / float64(len(seeds))
			sum.lookups += lookup.Goodput() / float64(len(seeds))
			sum.failed += float64(notice.Failed+lookup.Failed) / float64(notice.Requests+lookup.Requests) / float64(len(seeds))
			So(worthBetween(r, to+2*time.Second, until-2*time.Second), ShouldBeGreaterThan, 0.95)
		}
		So(sum.notices, ShouldBeGreaterThan, 0.8)
		So(sum.lookups, ShouldBeGreaterThan, 0.75*lookups)
		So(sum.failed, ShouldBeLessThan, 0.1)
	})
}
