package allot

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// host is that of the only instance that tells of itself.
var host = netip.MustParseAddr("10.0.0.1")

// single sends each route to the service of its own name.
func single(route string) map[string]float64 { return map[string]float64{route: 1} }

func TestNoServiceGetsMoreThanItsSlots(t *testing.T) {
	Convey("Over any lanes, needs and slots, what is given out fits, and nothing fits any more", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 500 {
			services := 1 + rng.IntN(5)
			room := map[resource]float64{}
			for n := range services {
				room[resource{fmt.Sprint(n), use(n % 2)}] = rng.Float64() * 100
			}
			var lanes []lane
			for n := range 1 + rng.IntN(12) {
				l := lane{Class: shed.Class{Route: fmt.Sprint(n), Rank: shed.Rank{Organisation: rng.IntN(3), Route: rng.IntN(3)}}, needs: map[resource]float64{}}
				for range 1 + rng.IntN(3) {
					n := rng.IntN(services + 1)
					l.needs[resource{fmt.Sprint(n), use(n % 2)}] = rng.Float64() * 60
				}
				lanes = append(lanes, l)
			}
			used := map[resource]float64{}
			left := map[resource]float64{}
			for name, slots := range room {
				left[name] = slots
			}
			open := divide(lanes, left)
			So(len(open), ShouldEqual, len(lanes))
			for _, l := range lanes {
				So(open[l.Class], ShouldBeBetweenOrEqual, 0, 1+1e-9)
				for name, need := range l.needs {
					used[name] += need * open[l.Class]
				}
			}
			for name, slots := range room {
				So(used[name], ShouldBeLessThanOrEqualTo, slots+1e-6)
			}
			for _, l := range lanes {
				spare := true
				for name := range l.needs {
					if slots, known := room[name]; known && slots-used[name] < 1e-6 {
						spare = false
					}
				}
				if spare {
					So(open[l.Class], ShouldBeGreaterThan, 1-1e-6)
				}
			}
		}
	})
}

func TestRanks(t *testing.T) {
	state := func(pay, look float64) State {
		return State{
			Demand: map[shed.Class]float64{
				{Route: "pay", Service: "pay"}:                                       pay,
				{Route: "look", Service: "look", Rank: shed.Rank{Organisation: 2}}:   look,
				{Route: "photo", Service: "photo", Rank: shed.Rank{Organisation: 1}}: 100,
			},
			Slots:     map[string]float64{"pay": 1000, "look": 1000, "photo": 1000, "truck": 10},
			CallGraph: graph.Edges{"pay": {"truck": 5}, "look": {"truck": 10}},
			Shares:    single,
		}
	}
	p := New()
	now := time.Unix(1000, 0)
	p.RecordHoldTimes("truck", host, []HoldTime{{Route: "truck", Seconds: 1, Count: 100}}, now)
	// A truck call takes 10 ms: a payment 50 ms of the ten slots, a lookup 100 ms.
	Convey("Where all fits, nobody is turned away", t, func() {
		So(p.Plan(state(100, 49), now), ShouldBeEmpty)
	})
	Convey("Where it doesn't, what goes first has more, the last has its least, and what doesn't need the service all", t, func() {
		plan := p.Plan(state(100, 200), now)
		_, cut := plan[shed.Class{Route: "pay", Service: "pay"}]
		So(cut, ShouldBeFalse)
		So(plan[shed.Class{Route: "look", Service: "look", Rank: shed.Rank{Organisation: 2}}], ShouldBeBetween, 0.19, 0.31)
		_, cut = plan[shed.Class{Route: "photo", Service: "photo", Rank: shed.Rank{Organisation: 1}}]
		So(cut, ShouldBeFalse)
	})
	Convey("A service whose instances are all gone takes nothing, one that nobody has told of is not in the way", t, func() {
		s := state(100, 49)
		s.Slots["truck"] = 0
		So(p.Plan(s, now)[shed.Class{Route: "pay", Service: "pay"}], ShouldEqual, 0)
		delete(s.Slots, "truck")
		So(p.Plan(s, now), ShouldBeEmpty)
	})
}

func TestSlotsAfterAStart(t *testing.T) {
	// Guards against a service that stands half empty for ten seconds after all daemons have started under load: while nobody knew what
	// requests cost, it was found to be overfull, and its slots were not believed in from then on.
	call := shed.Class{Route: "call", Service: "call"}
	state := func(full float64) State {
		return State{
			Demand: map[shed.Class]float64{call: 100}, Slots: map[string]float64{"truck": 10}, Saturation: map[string]float64{"truck": full},
			CallGraph: graph.Edges{"call": {"truck": 5}}, Shares: single,
		}
	}
	p := New()
	now := time.Unix(1000, 0)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		p.Plan(state(8), now)
	}
	var open float64
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		p.RecordHoldTimes("truck", host, []HoldTime{{Route: "truck", Seconds: 1, Count: 25}}, now)
		open = p.Plan(state(0.6), now)[call]
	}
	Convey("Three seconds after the costs are known, nine tenths of the slots are given out again", t, func() {
		// A call takes 0.2 of a slot, all of them 20.
		So(open, ShouldBeGreaterThan, 0.9*10/20)
	})
}

// TestInstancesThatChange guards against plans for the instances that are gone: those that are left, which work slower, were filled up to
// four times their slots, or stood idle in part.
func TestInstancesThatChange(t *testing.T) {
	call := shed.Class{Route: "call", Service: "call"}
	slow, fast := Instance{host, 10}, Instance{netip.MustParseAddr("10.0.0.2"), 10}
	state := func(full float64, there ...Instance) State {
		sum := 0.0
		for _, i := range there {
			sum += i.Slots
		}
		return State{
			Demand: map[shed.Class]float64{call: 1000}, Slots: map[string]float64{"leaf": sum}, Saturation: map[string]float64{"leaf": full},
			Instances: map[string][]Instance{"leaf": there}, CallGraph: graph.Edges{"call": {"leaf": 1}}, Shares: single,
		}
	}
	// The slow one does 10 / 0.2 s = 50 a second, the fast one 200.
	learn := func(p *Planner, now time.Time) {
		p.RecordHoldTimes("leaf", slow.Host, []HoldTime{{Route: "leaf", Seconds: 20, Count: 100}}, now)
		p.RecordHoldTimes("leaf", fast.Host, []HoldTime{{Route: "leaf", Seconds: 20, Count: 400}}, now)
	}
	for _, c := range []struct {
		name  string
		there []Instance
		want  float64
	}{{"both", []Instance{slow, fast}, 250}, {"the slow one alone", []Instance{slow}, 50}, {"the fast one alone", []Instance{fast}, 200}} {
		Convey("As many are begun as the instances that are there can do: "+c.name, t, func() {
			p, now := New(), time.Unix(1000, 0)
			learn(p, now)
			p.Plan(state(targetFull, slow, fast), now)
			begun := 1000 * p.Plan(state(targetFull, c.there...), now.Add(50*time.Millisecond))[call]
			So(begun, ShouldBeBetween, 0.85*c.want, 1.15*c.want)
		})
	}
	Convey("A correction that was found on one instance is not believed of four others", t, func() {
		p, now := New(), time.Unix(1000, 0)
		learn(p, now)
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			p.Plan(state(leastFull, slow), now)
		}
		So(p.services["leaf"].factor, ShouldAlmostEqual, mostFactor)
		p.Plan(state(targetFull, slow, fast, fast, fast, fast), now)
		So(p.services["leaf"].factor, ShouldBeLessThan, 1+(mostFactor-1)/4)
	})
}
