package rate_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// fleet is a set of homes that ask each other in virtual time, without loss unless they are partitioned.
type fleet struct {
	now   time.Time
	homes map[rate.Member]*rate.Home
	order []rate.Member
	// partitioned reports whether the two hosts can't reach each other.
	partitioned func(a, b rate.Member) bool
}

func startFleet(count int) *fleet {
	f := &fleet{now: time.Unix(0, 0), homes: map[rate.Member]*rate.Home{}, partitioned: func(a, b rate.Member) bool { return false }}
	for i := range count {
		f.order = append(f.order, rate.Member{Host: fmt.Sprint(i), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1)})
	}
	for _, m := range f.order {
		f.homes[m] = rate.NewHome(m, 1, rate.DefaultLimits(), f.now)
		f.homes[m].SetList(1, f.order, f.now)
	}
	return f
}

// run advances the time by d; each home checks twice a second whether a member is due to be asked.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for _, m := range f.order {
			to, ok := f.homes[m].NextAsk(f.now)
			if ok && !f.partitioned(m, to) {
				f.homes[m].Hear(f.homes[to].AnswerStatement(f.homes[m].Statement(f.now), f.now), f.now, f.now)
			}
		}
	}
}

func (f *fleet) lending() int {
	n := 0
	for _, h := range f.homes {
		if h.Status(f.now).MayLend {
			n++
		}
	}
	return n
}

// One of three equal regions is partitioned from the others for an hour. Neither side has a quorum, more than two
// thirds of the hosts, so homes lend on confirmations from before. If these were too old, every organisation would be
// refused as above its rate for the last quarter of the hour, in all three regions. After a partition that outlasts the
// tenure, homes must lend again at once, not minutes later with the next steady round.
func TestRegionsPartitionedForAnHour(t *testing.T) {
	for _, uptime := range []time.Duration{10 * time.Minute, 15 * time.Minute, 20 * time.Minute, 25 * time.Minute, 31 * time.Minute} {
		Convey(fmt.Sprintf("%s after the start", uptime), t, func() {
			f := startFleet(9)
			f.run(uptime)
			So(f.lending(), ShouldEqual, 9)
			f.partitioned = func(a, b rate.Member) bool { return (a.Host < "3") != (b.Host < "3") }
			lendingTime := time.Duration(0)
			for ; f.lending() == 9; lendingTime += time.Minute {
				f.run(time.Minute)
			}
			t.Logf("all homes lend until %s after the start of the partition", lendingTime)
			So(lendingTime, ShouldBeGreaterThan, time.Hour)

			f.run(rate.DefaultFence)
			So(f.lending(), ShouldEqual, 0)
			f.partitioned = func(a, b rate.Member) bool { return false }
			f.run(15 * time.Second)
			So(f.lending(), ShouldEqual, 9)
		})
	}
}
