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
	// Guards against a retry storm: all instances of a service decline everything and every daemon retries every request at
	// once, which would double the load when the service can least bear it.
	Convey("All daemons together stay within the retry budget in every window", t, func() {
		limits := Limits{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		for _, daemons := range []int{1, 14, 72} {
			rng := rand.New(rand.NewPCG(1, uint64(daemons)))
			fleet := make([]*Budget, daemons)
			for i := range fleet {
				fleet[i] = New(limits)
				fleet[i].SetDaemons(daemons)
			}
			var requests, retries []time.Duration
			start := time.Unix(0, 0)
			for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
				b := fleet[rng.IntN(daemons)]
				requests = append(requests, at)
				b.Earn("s", start.Add(at))
				for range 3 {
					if b.Spend("s", call.Interactive, start.Add(at)) {
						retries = append(retries, at)
					}
				}
			}
			for from := time.Duration(0); from < 30*time.Second; from += time.Second {
				So(countIn(retries, from, limits.Window), ShouldBeLessThanOrEqualTo,
					limits.Ratio*countIn(requests, from, limits.Window)+limits.Slack)
			}
			So(len(retries), ShouldBeGreaterThan, len(requests)/20)
		}
	})
}

func TestRetriedSubCallsAreCharged(t *testing.T) {
	// Guards against retries that multiply along the call path: lookups use their full retry budget, each calls a second
	// service that fails too, and its sub-calls would use a full budget again: twice the budget in all.
	Convey("Sub-calls of retried runs are charged to the budget of the service that they call", t, func() {
		limits := Limits{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		rng := rand.New(rand.NewPCG(1, 9))
		upper, lower := New(limits), New(limits)
		start := time.Unix(0, 0)
		requests, retries := 0, 0
		for at := time.Duration(0); at < 60*time.Second; at += 10 * time.Millisecond {
			now := start.Add(at)
			upper.Earn("a", now)
			lower.Earn("b", now)
			requests++
			if upper.Spend("a", call.Interactive, now) {
				lower.Charge("b", now)
				retries++
			}
			if rng.Float64() < 0.9 && lower.Spend("b", call.Interactive, now) {
				retries++
			}
		}
		So(float64(retries), ShouldBeLessThan, limits.Ratio*float64(requests)+limits.Slack*6)
	})
}

func countIn(times []time.Duration, from, window time.Duration) float64 {
	total := 0.0
	for _, at := range times {
		if at >= from && at < from+window {
			total++
		}
	}
	return total
}

func TestBudgetWhenAdmissionsFall(t *testing.T) {
	// Guards against an empty retry budget just when a service begins to decline requests and ingress daemons admit fewer.
	Convey("Earlier requests still earn retries, and every window stays within the budget", t, func() {
		limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		for _, c := range []struct {
			daemons int
			reduced float64
			// period is the length of the alternating phases of full and of reduced traffic.
			period time.Duration
		}{{1, 0.1, 20 * time.Second}, {3, 0.1, 20 * time.Second}, {17, 0.3, 20 * time.Second}, {3, 0, 20 * time.Second}, {3, 0, 5 * time.Second}, {3, 0, 7 * time.Second}} {
			rng := rand.New(rand.NewPCG(2, uint64(c.daemons)))
			fleet := make([]*Budget, c.daemons)
			for i := range fleet {
				fleet[i] = New(limits)
				fleet[i].SetDaemons(c.daemons)
			}
			var requests, retries []time.Duration
			start := time.Unix(0, 0)
			for at := time.Duration(0); at < 50*time.Second; at += time.Millisecond {
				b := fleet[rng.IntN(c.daemons)]
				if at/c.period%2 == 0 || rng.Float64() < c.reduced {
					requests = append(requests, at)
					b.Earn("s", start.Add(at))
				}
				for at > 5*time.Second && b.Spend("s", call.Interactive, start.Add(at)) {
					retries = append(retries, at)
				}
			}
			for from := 10 * time.Second; from < 40*time.Second; from += 250 * time.Millisecond {
				requested := max(countIn(requests, from, limits.Window), countIn(requests, from-limits.Window, limits.Window),
					countIn(requests, from-limits.Window/2, limits.Window))
				So(countIn(retries, from, limits.Window), ShouldBeLessThanOrEqualTo, limits.Ratio*requested+limits.Slack)
			}
			if c.period == 20*time.Second {
				So(countIn(retries, 20*time.Second, 5*time.Second), ShouldBeGreaterThan, 0.6*limits.Ratio*5000)
			}
		}
	})
}

func TestReportWhenTheWindowIsUsedUp(t *testing.T) {
	// Guards against requests that are admitted and then fail in an outage that outlasts the saved retries: the window holds no more of them,
	// but the daemon reports the pace that it would have otherwise, for which the fleet admits requests.
	Convey("In every second of an outage, a daemon reports about as many retries as it then spends", t, func() {
		limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		b := New(limits)
		now := time.Unix(1000, 0)
		play := func(duration time.Duration, perSecond int, outage bool) (spent float64) {
			for range int(duration.Seconds() * float64(perSecond)) {
				now = now.Add(time.Second / time.Duration(perSecond))
				b.Earn("s", now)
				for outage && b.Spend("s", call.Interactive, now) {
					spent++
				}
			}
			return spent
		}
		play(25*time.Second, 400, false)
		total := 0.0
		for second := range 20 {
			reported := b.Report(now)["s"].Earned
			spent := play(time.Second, 200, true)
			total += spent
			// The first second spends what was saved as well.
			if second > 0 {
				So(reported, ShouldBeBetween, spent/1.6-5, 1.6*spent+5)
			}
		}
		So(total, ShouldBeGreaterThan, 0.5*limits.Ratio*400*10)
	})
}

func TestGrantsFollowDemand(t *testing.T) {
	// Guards against retries that stay unused at one daemon while requests of another fail without them, and
	// against failures of requests that need one retry each because others take ten.
	Convey("The fleet's retries go to the daemons that want them, max-min fairly, without exceeding the total", t, func() {
		for _, c := range []struct {
			name    string
			reports []Rates
			want    []float64
		}{
			{"no demand", []Rates{{Earned: 30}, {Earned: 10}}, []float64{30, 10}},
			{"one wants more than it earns, within the total", []Rates{{Earned: 30}, {Earned: 10, Wanted: 20}}, []float64{15, 25}},
			{"one wants more than the total leaves", []Rates{{Earned: 30, Wanted: 12}, {Earned: 10, Wanted: 68}}, []float64{12, 28}},
			{"all want more than a fair share", []Rates{{Earned: 30, Wanted: 30}, {Earned: 10, Wanted: 60}}, []float64{20, 20}},
		} {
			var fleet Rates
			var wanted []float64
			for _, own := range c.reports {
				wanted = append(wanted, own.Wanted)
				fleet.Earned += own.Earned
				fleet.Wanted += own.Wanted
			}
			limit := FairCap(wanted, fleet.Earned)
			for i, own := range c.reports {
				So(c.name+": "+fmt.Sprint(Grant(fleet, own, limit)), ShouldEqual, c.name+": "+fmt.Sprint(c.want[i]))
			}
		}
	})
	Convey("A daemon that earns few retries spends granted ones until the grant expires", t, func() {
		b := New(Limits{Ratio: 0.2, Window: 10 * time.Second})
		now := time.Unix(1000, 0)
		own := map[string]Rates{"s": {}}
		spent := 0
		play := func(duration time.Duration, granted bool) int {
			spent = 0
			for at := time.Duration(0); at < duration; at += 10 * time.Millisecond {
				now = now.Add(10 * time.Millisecond)
				if granted && at%(300*time.Millisecond) == 0 {
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

func TestBudgetAfterFleetRestart(t *testing.T) {
	// Guards against a restarted fleet that has lost its counts and spends its budget a second time within the same window.
	Convey("Every window around the restart stays within the budget", t, func() {
		limits := Limits{Ratio: 0.2, Slack: 49, Window: 10 * time.Second}
		const daemons, restart, end = 16, 25 * time.Second, 50 * time.Second
		rng := rand.New(rand.NewPCG(3, 3))
		var fleet []*Budget
		startAll := func() {
			fleet = nil
			for range daemons {
				b := New(limits)
				b.SetDaemons(daemons)
				fleet = append(fleet, b)
			}
		}
		startAll()
		var requests, retries []time.Duration
		start := time.Unix(0, 0)
		for at := time.Duration(0); at < end; at += 2 * time.Millisecond {
			if at == restart {
				startAll()
			}
			if at > restart && at < restart+time.Second {
				continue
			}
			b := fleet[rng.IntN(daemons)]
			requests = append(requests, at)
			b.Earn("s", start.Add(at))
			for range 3 {
				if b.Spend("s", call.Interactive, start.Add(at)) {
					retries = append(retries, at)
				}
			}
		}
		for from := time.Duration(0); from < end-limits.Window; from += 250 * time.Millisecond {
			// A quarter is left for retries that no daemon counts: sub-calls of retried runs that look like those of first runs.
			So(countIn(retries, from, limits.Window), ShouldBeLessThanOrEqualTo, 0.75*(limits.Ratio*countIn(requests, from, limits.Window)+limits.Slack))
		}
	})
}

// TestReserveByPriority guards against high-priority requests that fail in the first second of an outage because the many low-priority
// ones took all saved retries.
func TestReserveByPriority(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 124, Window: 10 * time.Second}
	play := func(priority call.Priority, granted float64) int {
		b := New(limits)
		now := time.Unix(1000, 0)
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			b.Earn("s", now)
		}
		own := map[string]Rates{"s": {Earned: b.rate(b.accounts["s"]), Wanted: 100}}
		b.Apply(map[string]float64{"s": granted}, own, now)
		sent := 0
		for b.Spend("s", priority, now) {
			sent++
		}
		return sent
	}
	Convey("While the fleet has too few retries, the lowest priority leaves most saved ones and the highest none", t, func() {
		interactive, standard, background := play(call.Interactive, 80), play(call.Standard, 80), play(call.Background, 80)
		So(background, ShouldBeGreaterThan, 0)
		So(standard, ShouldBeGreaterThan, background)
		So(interactive, ShouldBeGreaterThan, 3*background)
	})
	// Guards against lookups that fail at a daemon next to a faulty instance while the fleet still has retries.
	Convey("All priorities may spend saved retries while the fleet has enough", t, func() {
		So(play(call.Background, 120), ShouldEqual, play(call.Interactive, 120))
	})
}
