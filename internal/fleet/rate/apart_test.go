package rate_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// fleet is homes that ask each other in virtual time, without loss between those that are not apart.
type fleet struct {
	now   time.Time
	homes map[rate.Member]*rate.Home
	order []rate.Member
	// apart tells whether the two hosts can't reach each other.
	apart func(a, b rate.Member) bool
}

func startFleet(count int) *fleet {
	f := &fleet{now: time.Unix(0, 0), homes: map[rate.Member]*rate.Home{}, apart: func(a, b rate.Member) bool { return false }}
	for i := range count {
		f.order = append(f.order, rate.Member{Host: fmt.Sprint(i), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1)})
	}
	for _, m := range f.order {
		f.homes[m] = rate.NewHome(m, 1, rate.DefaultLimits(), f.now)
		f.homes[m].SetList(1, f.order, f.now)
	}
	return f
}

// run lets time go by; each home looks twice a second whether there is someone to ask.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for _, m := range f.order {
			to, ok := f.homes[m].NextAsk(f.now)
			if ok && !f.apart(m, to) {
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

// One of three equal regions loses the others for an hour. Neither part has more than two thirds of the hosts, so homes
// go on by what they heard before; had they heard it too long before, every organisation would be refused as over its
// rate for the last quarter of the hour, in all three regions. And when a cut lasted for longer than homes may lend, they
// must lend again as soon as it is over: until the next steady round every organisation would be refused for minutes more.
func TestRegionsApartForAnHour(t *testing.T) {
	for _, before := range []time.Duration{10 * time.Minute, 15 * time.Minute, 20 * time.Minute, 25 * time.Minute, 31 * time.Minute} {
		Convey(fmt.Sprintf("%s after the start", before), t, func() {
			f := startFleet(9)
			f.run(before)
			So(f.lending(), ShouldEqual, 9)
			f.apart = func(a, b rate.Member) bool { return (a.Host < "3") != (b.Host < "3") }
			lasted := time.Duration(0)
			for ; f.lending() == 9; lasted += time.Minute {
				f.run(time.Minute)
			}
			t.Logf("all lend until %s after the cut", lasted)
			So(lasted, ShouldBeGreaterThan, time.Hour)

			f.run(rate.DefaultFence)
			So(f.lending(), ShouldEqual, 0)
			f.apart = func(a, b rate.Member) bool { return false }
			f.run(15 * time.Second)
			So(f.lending(), ShouldEqual, 9)
		})
	}
}
