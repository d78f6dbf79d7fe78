package repeats

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

func TestFleetStaysWithinTheBound(t *testing.T) {
	// Every instance of a service turns everything away, and every daemon would like to repeat every request at
	// once. The service would get twice its load at the moment at which it can bear least.
	Convey("All daemons together repeat less than the bound in every window", t, func() {
		bounds := Limits{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		for _, daemons := range []int{1, 14, 72} {
			rng := rand.New(rand.NewPCG(1, uint64(daemons)))
			fleet := make([]*Budget, daemons)
			for i := range fleet {
				fleet[i] = New(bounds)
				fleet[i].SetDaemons(daemons)
			}
			var requests, repeats []time.Duration
			start := time.Unix(0, 0)
			for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
				d := fleet[rng.IntN(daemons)]
				requests = append(requests, at)
				d.Earn("s", start.Add(at))
				for range 3 {
					if d.Spend("s", call.Interactive, start.Add(at)) {
						repeats = append(repeats, at)
					}
				}
			}
			for from := time.Duration(0); from < 30*time.Second; from += time.Second {
				So(counted(repeats, from, bounds.Window), ShouldBeLessThanOrEqualTo,
					bounds.Ratio*counted(requests, from, bounds.Window)+bounds.Slack)
			}
			So(len(repeats), ShouldBeGreaterThan, len(requests)/20)
		}
	})
}

func TestRepeatsFromAbove(t *testing.T) {
	// Lookups are repeated to the bound, and each calls a second service once. That one fails too, and its calls would be
	// repeated to the bound as well: twice the bound in all.
	Convey("What repeated runs call counts against the repeats of the service that they call", t, func() {
		bounds := Limits{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		rng := rand.New(rand.NewPCG(1, 9))
		above, below := New(bounds), New(bounds)
		start := time.Unix(0, 0)
		requests, repeats := 0, 0
		for at := time.Duration(0); at < 60*time.Second; at += 10 * time.Millisecond {
			now := start.Add(at)
			above.Earn("a", now)
			below.Earn("b", now)
			requests++
			if above.Spend("a", call.Interactive, now) {
				below.Charge("b", now)
				repeats++
			}
			if rng.Float64() < 0.9 && below.Spend("b", call.Interactive, now) {
				repeats++
			}
		}
		So(float64(repeats), ShouldBeLessThan, bounds.Ratio*float64(requests)+bounds.Slack*6)
	})
}

func counted(all []time.Duration, from, window time.Duration) float64 {
	n := 0.0
	for _, at := range all {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

func TestRepeatsWhenFewerAreBegun(t *testing.T) {
	// Guards against having no repeats left just when a service begins to turn requests away and fronts begin less of them.
	Convey("What was seen before counts, and the bound holds in every window", t, func() {
		bounds := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		for _, c := range []struct {
			daemons int
			left    float64
			// period is how long requests go on as before and then fall to what is left, by turns.
			period time.Duration
		}{{1, 0.1, 20 * time.Second}, {3, 0.1, 20 * time.Second}, {17, 0.3, 20 * time.Second}, {3, 0, 20 * time.Second}, {3, 0, 5 * time.Second}, {3, 0, 7 * time.Second}} {
			rng := rand.New(rand.NewPCG(2, uint64(c.daemons)))
			fleet := make([]*Budget, c.daemons)
			for i := range fleet {
				fleet[i] = New(bounds)
				fleet[i].SetDaemons(c.daemons)
			}
			var requests, repeats []time.Duration
			start := time.Unix(0, 0)
			for at := time.Duration(0); at < 50*time.Second; at += time.Millisecond {
				d := fleet[rng.IntN(c.daemons)]
				if at/c.period%2 == 0 || rng.Float64() < c.left {
					requests = append(requests, at)
					d.Earn("s", start.Add(at))
				}
				for at > 5*time.Second && d.Spend("s", call.Interactive, start.Add(at)) {
					repeats = append(repeats, at)
				}
			}
			for from := 10 * time.Second; from < 40*time.Second; from += 250 * time.Millisecond {
				requested := max(counted(requests, from, bounds.Window), counted(requests, from-bounds.Window, bounds.Window),
					counted(requests, from-bounds.Window/2, bounds.Window))
				So(counted(repeats, from, bounds.Window), ShouldBeLessThanOrEqualTo, bounds.Ratio*requested+bounds.Slack)
			}
			if c.period == 20*time.Second {
				So(counted(repeats, 20*time.Second, 5*time.Second), ShouldBeGreaterThan, 0.6*bounds.Ratio*5000)
			}
		}
	})
}

func TestRepeatsWhereTheyAreNeeded(t *testing.T) {
	// Guards against repeats that lie idle at one daemon while requests of another fail for want of them.
	// Guards against requests that need one repeat each failing beside those that need ten.
	Convey("What the fleet may repeat goes to those that would like to, the same to all that want more, and is no more in all", t, func() {
		for _, c := range []struct {
			name  string
			words []Rates
			want  []float64
		}{
			{"nobody wants", []Rates{{Earned: 30}, {Earned: 10}}, []float64{30, 10}},
			{"one wants more than it earns", []Rates{{Earned: 30}, {Earned: 10, Wanted: 20}}, []float64{15, 25}},
			{"one wants too much", []Rates{{Earned: 30, Wanted: 12}, {Earned: 10, Wanted: 68}}, []float64{12, 28}},
			{"all want too much", []Rates{{Earned: 30, Wanted: 30}, {Earned: 10, Wanted: 60}}, []float64{20, 20}},
		} {
			var fleet Rates
			var wanted []float64
			for _, w := range c.words {
				wanted = append(wanted, w.Wanted)
				fleet.Earned += w.Earned
				fleet.Wanted += w.Wanted
			}
			most := FairCap(wanted, fleet.Earned)
			for n, w := range c.words {
				So(c.name+": "+fmt.Sprint(Grant(fleet, w, most)), ShouldEqual, c.name+": "+fmt.Sprint(c.want[n]))
			}
		}
	})
	Convey("A daemon that earns few spends what others lend, until it hears no more", t, func() {
		b := New(Limits{Ratio: 0.2, Window: 10 * time.Second})
		now := time.Unix(1000, 0)
		own := map[string]Rates{"s": {}}
		spent := 0
		play := func(length time.Duration, hears bool) int {
			spent = 0
			for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
				now = now.Add(10 * time.Millisecond)
				if hears && at%(300*time.Millisecond) == 0 {
					b.Apply(map[string]float64{"s": 20}, own, now)
				}
				if b.Spend("s", call.Interactive, now) {
					spent++
				}
			}
			return spent
		}
		b.Earn("s", now)
		So(play(5*time.Second, true), ShouldBeBetween, 80, 110)
		play(2*time.Second, false)
		So(play(5*time.Second, false), ShouldBeLessThan, 10)
	})
}

func TestRepeatsAfterARestartOfAll(t *testing.T) {
	// Guards against a fleet that forgets with a restart what it has repeated, and repeats as much again within the same window.
	Convey("The bound holds in every window around the restart", t, func() {
		bounds := Limits{Ratio: 0.2, Slack: 49, Window: 10 * time.Second}
		const daemons, restart, end = 16, 25 * time.Second, 50 * time.Second
		rng := rand.New(rand.NewPCG(3, 3))
		var fleet []*Budget
		begin := func() {
			fleet = nil
			for range daemons {
				b := New(bounds)
				b.SetDaemons(daemons)
				fleet = append(fleet, b)
			}
		}
		begin()
		var requests, repeats []time.Duration
		start := time.Unix(0, 0)
		for at := time.Duration(0); at < end; at += 2 * time.Millisecond {
			if at == restart {
				begin()
			}
			if at > restart && at < restart+time.Second {
				continue
			}
			d := fleet[rng.IntN(daemons)]
			requests = append(requests, at)
			d.Earn("s", start.Add(at))
			for range 3 {
				if d.Spend("s", call.Interactive, start.Add(at)) {
					repeats = append(repeats, at)
				}
			}
		}
		for from := time.Duration(0); from < end-bounds.Window; from += 250 * time.Millisecond {
			// A quarter is left for repeats that no daemon sees: calls of repeated runs that are taken for those of others.
			So(counted(repeats, from, bounds.Window), ShouldBeLessThanOrEqualTo, 0.75*(bounds.Ratio*counted(requests, from, bounds.Window)+bounds.Slack))
		}
	})
}

// TestRepeatsByPriority guards against urgent requests that fail in the first second of a trouble, since all that was saved up went to the
// many that go last.
func TestRepeatsByPriority(t *testing.T) {
	bounds := Limits{Ratio: 0.2, Slack: 124, Window: 10 * time.Second}
	play := func(p call.Priority, granted float64) int {
		b := New(bounds)
		now := time.Unix(1000, 0)
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			b.Earn("s", now)
		}
		own := map[string]Rates{"s": {Earned: b.rate(b.accounts["s"]), Wanted: 100}}
		b.Apply(map[string]float64{"s": granted}, own, now)
		sent := 0
		for b.Spend("s", p, now) {
			sent++
		}
		return sent
	}
	Convey("What goes last leaves most of what is saved up, and what goes first nothing, while the fleet is short", t, func() {
		first, middle, last := play(call.Interactive, 80), play(call.Standard, 80), play(call.Background, 80)
		So(last, ShouldBeGreaterThan, 0)
		So(middle, ShouldBeGreaterThan, last)
		So(first, ShouldBeGreaterThan, 3*last)
	})
	// Guards against one daemon beside a faulty instance that lets lookups fail while the fleet has repeats left.
	Convey("All may spend what is saved up while the fleet has enough", t, func() {
		So(play(call.Background, 120), ShouldEqual, play(call.Interactive, 120))
	})
}
