package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// requests lets so many requests arrive one millisecond after the other, and returns the number of the admitted ones.
func requests(q *Quota, count int, now *time.Time) (admitted int) {
	for range count {
		*now = now.Add(time.Millisecond)
		if q.Admit("o", *now).Admitted {
			admitted++
		}
	}
	return admitted
}

// TestUnrenewedAllocation guards against a daemon that admits all requests of an organisation for as long as an allocation from before its surge is
// valid, since no collector replies: five of them admitted 542 in 5 s, 320 are allowed.
func TestUnrenewedAllocation(t *testing.T) {
	const daemons = 5
	limit := RateLimit{PerSecond: 40, Burst: 40}
	Convey("With an allocation from before an organisation began to send,", t, func() {
		now := time.Unix(1000, 0)
		q := New(WithRand(func() float64 { return 0.5 }))
		q.Configure(map[string]RateLimit{"o": limit})
		q.SetDaemons(daemons)
		q.Apply(map[string]Allocation{}, now)
		now = now.Add(renewalTime)

		Convey("a daemon admits its part of the saved burst and a few requests more until the allocation is renewed", func() {
			most := int(limit.savedBurst()/daemons) + maxOverdraft + 1
			So(requests(q, 500, &now), ShouldBeBetweenOrEqual, most-1, most+1)
			q.Apply(map[string]Allocation{}, now)
			So(requests(q, 100, &now), ShouldEqual, 100)
		})
		Convey("it asks for an early heartbeat before it refuses requests", func() {
			var d Decision
			for !d.Surge {
				now = now.Add(time.Millisecond)
				d = q.Admit("o", now)
				So(d.Admitted, ShouldBeTrue)
				// Without a request since the last report, only what is admitted beyond the share asks for a heartbeat.
				q.Report(now)
			}
		})
		Convey("it reports what it has admitted beyond its share", func() {
			admitted := requests(q, 12, &now)
			So(admitted, ShouldEqual, 12)
			So(q.Report(now)["o"].Overdraft, ShouldBeBetweenOrEqual, 12-renewalOverdraft-1, 12-renewalOverdraft)
		})
	})
	Convey("A collector takes what a daemon had admitted beyond its share before its first report for debt, once", t, func() {
		f := newReportingFleet(daemons, limit)
		f.counts["o"] = Count{Requested: 100, Admitted: 100, Overdraft: 30}
		f.pool.Update(f.daemons[0], false, f.counts, time.Minute, f.now)
		So(f.pool.buckets["o"].level, ShouldEqual, -30)
		f.pool.Update(f.daemons[0], false, f.counts, time.Minute, f.now)
		So(f.pool.buckets["o"].level, ShouldEqual, -30)
	})
}

// TestRefundOfAnOverdraft guards against organisations within their rates that are refused while instances are out: their requests, which don't run,
// counted as admitted beyond the daemon's share.
func TestRefundOfAnOverdraft(t *testing.T) {
	limit := RateLimit{PerSecond: 40, Burst: 40}
	now := time.Unix(1000, 0)
	q := New(WithRand(func() float64 { return 0.5 }))
	q.Configure(map[string]RateLimit{"o": limit})
	q.SetDaemons(5)
	q.Apply(map[string]Allocation{}, now)
	now = now.Add(renewalTime)
	admit := func() Decision {
		now = now.Add(time.Millisecond)
		return q.Admit("o", now)
	}
	Convey("Requests that didn't run don't count as admitted beyond the share", t, func() {
		for range 100 {
			d := admit()
			So(d.Admitted, ShouldBeTrue)
			q.Refund("o", d)
		}
		So(q.Report(now)["o"].Overdraft, ShouldEqual, 0)
	})
	Convey("A refund after a further allocation doesn't reduce what was admitted since", t, func() {
		earlier := admit()
		q.Apply(map[string]Allocation{}, now)
		for range 12 {
			So(admit().Admitted, ShouldBeTrue)
		}
		before := q.Report(now)["o"].Overdraft
		q.Refund("o", earlier)
		So(q.Report(now)["o"].Overdraft, ShouldEqual, before)
	})
}

// TestAllocationAfterArrival guards against a daemon that goes by its share although it has just received an allocation, since the request had arrived
// before: organisations within their rates were refused on a busy host.
func TestAllocationAfterArrival(t *testing.T) {
	Convey("A request is decided by the allocation that was applied after its arrival", t, func() {
		now := time.Unix(1000, 0)
		q := New(WithRand(func() float64 { return 0.5 }))
		q.Configure(map[string]RateLimit{"o": {PerSecond: 40, Burst: 40}})
		q.SetDaemons(5)
		q.Apply(map[string]Allocation{"o": {AdmitFraction: 1, Demand: 10}}, now)
		d := q.Admit("o", now.Add(-10*time.Millisecond))
		So(d.Age, ShouldEqual, 0)
		So(d.AdmitFraction, ShouldEqual, 1)
	})
}
