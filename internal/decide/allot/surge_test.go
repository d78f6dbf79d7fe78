package allot

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// world is a fleet of fronts before a service of trucks, to which a lookup makes ten calls and a payment five, of 15 ms each.
type world struct {
	slots   float64
	fronts  []*shed.Shedder
	planner *Planner
	rng     *rand.Rand
	now     time.Time
	queue   float64
	// full, held and count add up what the service is found to be since the last beat.
	full, held float64
	beats      int
	asked      []map[shed.Class]float64
	// shown is the fullness of the beat before: what a collector knows is as old as that.
	shown float64
	plan  []shed.Allocation
}

var (
	lookups  = shed.Class{Route: "lookup", Service: "front", Rank: shed.Rank{Organisation: 2, Route: 2}}
	payments = shed.Class{Route: "payment", Service: "front"}
	photos   = shed.Class{Route: "photo", Service: "photos", Rank: shed.Rank{Organisation: 2, Route: 2}}
	// work is how long one request of each lane holds a truck's slot, in seconds.
	work = map[shed.Class]float64{lookups: 0.15, payments: 0.075, photos: 0}
)

const (
	tick     = 10 * time.Millisecond
	beatGap  = 30
	truckJob = 0.015
	// mostWait is how long a call waits before it is given up, in seconds: what comes then is lost after most of its work.
	mostWait = 0.25
)

func newWorld(fronts int, slots float64, seed uint64) *world {
	w := &world{slots: slots, planner: New(), rng: rand.New(rand.NewPCG(seed, uint64(fronts))), now: time.Unix(1000, 0)}
	for range fronts {
		w.fronts = append(w.fronts, shed.New(shed.WithRand(w.rng.Float64)))
		w.asked = append(w.asked, nil)
	}
	return w
}

// done is what came of a lane's requests.
type done struct{ asked, whole float64 }

// step plays one tick of so many requests a second and returns what was finished.
func (w *world) step(perSecond map[shed.Class]float64, into map[shed.Class]*done) {
	w.now = w.now.Add(tick)
	load := 0.0
	for _, l := range []shed.Class{lookups, payments, photos} {
		for due := perSecond[l] * tick.Seconds(); due > 0; due-- {
			if due < 1 && w.rng.Float64() >= due {
				continue
			}
			d := into[l]
			if d == nil {
				d = &done{}
				into[l] = d
			}
			d.asked++
			if !w.fronts[w.rng.IntN(len(w.fronts))].Admit(l, 0, w.now).Admitted {
				continue
			}
			if work[l] > 0 && w.queue/w.slots > mostWait {
				// Some of its calls were run, and one was given up.
				load += work[l] / 2
				continue
			}
			load += work[l]
			d.whole++
		}
	}
	room := w.slots * tick.Seconds()
	ran := min(w.queue+load, room)
	w.queue += load - ran
	w.full += ran/room + w.queue/w.slots/0.05
	w.held += ran
	if w.beats++; w.beats%beatGap == 0 {
		w.beat()
	}
}

// beat tells the collector of everything; what it answers was worked out from the beat before.
func (w *world) beat() {
	for n, f := range w.fronts {
		rates := map[shed.Class]float64{}
		for _, r := range f.Demand(w.now) {
			rates[r.Class] = r.PerSecond
		}
		w.asked[n] = rates
	}
	for _, f := range w.fronts {
		f.Apply(w.plan, w.now)
	}
	demand := map[shed.Class]float64{}
	for _, rates := range w.asked {
		for l, perSecond := range rates {
			demand[l] += perSecond
		}
	}
	w.planner.RecordHoldTimes("trucks", host, []HoldTime{{Route: "leg", Seconds: w.held, Count: int(w.held / truckJob)}}, w.now)
	w.plan = nil
	for l, open := range w.planner.Plan(State{
		Demand: demand, Slots: map[string]float64{"trucks": w.slots}, Saturation: map[string]float64{"trucks": w.shown},
		CallGraph: graph.Edges{"lookup": {"leg": 10}, "payment": {"leg": 5}},
		Shares: func(route string) map[string]float64 {
			return map[string]map[string]float64{"leg": {"trucks": 1}}[route]
		},
	}, w.now) {
		w.plan = append(w.plan, shed.Allocation{Class: l, AdmitFraction: open})
	}
	w.shown, w.full, w.held = w.full/beatGap, 0, 0
}

func (w *world) play(seconds int, perSecond map[shed.Class]float64) map[shed.Class]*done {
	into := map[shed.Class]*done{}
	for range seconds * int(time.Second/tick) {
		w.step(perSecond, into)
	}
	return into
}

func (d *done) share() float64 { return d.whole / d.asked }

func TestSurge(t *testing.T) {
	// Lookups and payments end at a few trucks' slots deep down. A surge brings twice, or ten times, what these can do; refused
	// there, most of what was begun fails after nearly all of its work, and callers come again with more.
	Convey("Within a second or two the slots are in use for work that is finished, and what goes first gets through", t, func() {
		for _, c := range []struct {
			fronts int
			times  float64
			paid   float64
		}{{4, 1.5, 0.9}, {16, 1.5, 0.9}, {72, 1.5, 0.9}, {16, 10, 0.2}, {72, 10, 0.2}} {
			w := newWorld(c.fronts, 60, 1)
			usual := map[shed.Class]float64{lookups: 250, payments: 100, photos: 100}
			before := w.play(10, usual)
			So(before[lookups].share(), ShouldBeGreaterThan, 0.98)
			surge := map[shed.Class]float64{lookups: 250 * c.times, payments: 100 * c.times, photos: 100}
			w.play(2, surge)
			after := w.play(20, surge)
			finished := 0.0
			for l, d := range after {
				finished += d.whole * work[l]
			}
			So(finished/(60*20), ShouldBeGreaterThan, 0.8)
			So(after[payments].share(), ShouldBeGreaterThan, c.paid)
			So(after[payments].share(), ShouldBeGreaterThan, after[lookups].share())
			So(after[photos].share(), ShouldBeGreaterThan, 0.99)
			// The lookups have their least part: half of what they would have if all were alike.
			So(after[lookups].share(), ShouldBeGreaterThan, 0.4*60/(45*c.times))
		}
	})
	// The surge is over, and what it left behind must not keep callers out.
	Convey("Seconds after the surge nobody is turned away", t, func() {
		w := newWorld(16, 60, 2)
		usual := map[shed.Class]float64{lookups: 250, payments: 100, photos: 100}
		w.play(5, usual)
		w.play(10, map[shed.Class]float64{lookups: 2500, payments: 1000, photos: 100})
		w.play(3, usual)
		for _, d := range w.play(10, usual) {
			So(d.share(), ShouldBeGreaterThan, 0.98)
		}
	})
	// An instance is lost, and its part of the slots with it.
	Convey("With fewer slots less is begun, and what is begun is finished", t, func() {
		w := newWorld(16, 60, 3)
		usual := map[shed.Class]float64{lookups: 250, payments: 100, photos: 100}
		w.play(5, usual)
		w.slots = 40
		w.play(2, usual)
		after := w.play(10, usual)
		So((after[lookups].whole*work[lookups]+after[payments].whole*work[payments])/(40*10), ShouldBeGreaterThan, 0.85)
		So(after[payments].share(), ShouldBeGreaterThan, 0.95)
	})
}
