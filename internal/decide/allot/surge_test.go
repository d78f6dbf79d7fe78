package allot

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

// model simulates ingress daemons in front of one service, trucks; a lookup makes ten sub-calls to it and a payment five, of 15 ms each.
type model struct {
	slots     float64
	ingresses []*shed.Shedder
	planner   *Planner
	rng       *rand.Rand
	now       time.Time
	queue     float64
	// saturation and holdSeconds are sums over the ticks since the last heartbeat.
	saturation, holdSeconds float64
	ticks                   int
	demands                 []map[shed.Class]float64
	// reportedSaturation is the mean saturation of the heartbeat interval before, since a collector's data is that old.
	reportedSaturation float64
	plan               []shed.Allocation
}

var (
	lookups  = shed.Class{Route: "lookup", Service: "front", Rank: shed.Rank{Organisation: 2, Route: 2}}
	payments = shed.Class{Route: "payment", Service: "front"}
	photos   = shed.Class{Route: "photo", Service: "photos", Rank: shed.Rank{Organisation: 2, Route: 2}}
	// slotSeconds is the slot time of trucks that one request of each class takes.
	slotSeconds = map[shed.Class]float64{lookups: 0.15, payments: 0.075, photos: 0}
)

const (
	tick              = 10 * time.Millisecond
	ticksPerHeartbeat = 30
	callSeconds       = 0.015
	// maxWait is the queueing time in seconds from which on a sub-call is given up, which wastes most of the request's work.
	maxWait = 0.25
)

func newModel(ingresses int, slots float64, seed uint64) *model {
	m := &model{slots: slots, planner: New(), rng: rand.New(rand.NewPCG(seed, uint64(ingresses))), now: time.Unix(1000, 0)}
	for range ingresses {
		m.ingresses = append(m.ingresses, shed.New(shed.WithRand(m.rng.Float64)))
		m.demands = append(m.demands, nil)
	}
	return m
}

// outcome counts the requests of a class.
type outcome struct{ offered, completed float64 }

// step simulates one tick at the given arrival rates and adds the results to outcomes.
func (m *model) step(perSecond map[shed.Class]float64, outcomes map[shed.Class]*outcome) {
	m.now = m.now.Add(tick)
	load := 0.0
	for _, class := range []shed.Class{lookups, payments, photos} {
		for pending := perSecond[class] * tick.Seconds(); pending > 0; pending-- {
			if pending < 1 && m.rng.Float64() >= pending {
				continue
			}
			o := outcomes[class]
			if o == nil {
				o = &outcome{}
				outcomes[class] = o
			}
			o.offered++
			if !m.ingresses[m.rng.IntN(len(m.ingresses))].Admit(class, 0, m.now).Admitted {
				continue
			}
			if slotSeconds[class] > 0 && m.queue/m.slots > maxWait {
				// Some of its sub-calls ran before one was given up.
				load += slotSeconds[class] / 2
				continue
			}
			load += slotSeconds[class]
			o.completed++
		}
	}
	capacity := m.slots * tick.Seconds()
	executed := min(m.queue+load, capacity)
	m.queue += load - executed
	m.saturation += executed/capacity + m.queue/m.slots/0.05
	m.holdSeconds += executed
	if m.ticks++; m.ticks%ticksPerHeartbeat == 0 {
		m.heartbeat()
	}
}

// heartbeat reports demand and hold times to the planner; daemons apply the plan of the heartbeat before.
func (m *model) heartbeat() {
	for i, s := range m.ingresses {
		rates := map[shed.Class]float64{}
		for _, r := range s.Demand(m.now) {
			rates[r.Class] = r.PerSecond
		}
		m.demands[i] = rates
	}
	for _, s := range m.ingresses {
		s.Apply(m.plan, m.now)
	}
	demand := map[shed.Class]float64{}
	for _, rates := range m.demands {
		for class, perSecond := range rates {
			demand[class] += perSecond
		}
	}
	m.planner.RecordHoldTimes("trucks", host, []HoldTime{{Route: "leg", Seconds: m.holdSeconds, Count: int(m.holdSeconds / callSeconds)}}, m.now)
	m.plan = nil
	for class, fraction := range m.planner.Plan(State{
		Demand: demand, Slots: map[string]float64{"trucks": m.slots}, Saturation: map[string]float64{"trucks": m.reportedSaturation},
		CallGraph: graph.Edges{"lookup": {"leg": 10}, "payment": {"leg": 5}},
		Shares: func(route string) map[string]float64 {
			return map[string]map[string]float64{"leg": {"trucks": 1}}[route]
		},
	}, m.now) {
		m.plan = append(m.plan, shed.Allocation{Class: class, AdmitFraction: fraction})
	}
	m.reportedSaturation, m.saturation, m.holdSeconds = m.saturation/ticksPerHeartbeat, 0, 0
}

func (m *model) play(seconds int, perSecond map[shed.Class]float64) map[shed.Class]*outcome {
	outcomes := map[shed.Class]*outcome{}
	for range seconds * int(time.Second/tick) {
		m.step(perSecond, outcomes)
	}
	return outcomes
}

func (o *outcome) completedFraction() float64 { return o.completed / o.offered }

func TestSurge(t *testing.T) {
	// Guards against a surge of 1.5 or ten times the usual load on a small service deep in the call graph: requests refused at that
	// service fail after nearly all of their work, and client retries add more load.
	Convey("Within two seconds the slots do work that completes, and higher-priority traffic gets through", t, func() {
		for _, c := range []struct {
			ingresses   int
			surgeFactor float64
			minPayments float64
		}{{4, 1.5, 0.9}, {16, 1.5, 0.9}, {72, 1.5, 0.9}, {16, 10, 0.2}, {72, 10, 0.2}} {
			m := newModel(c.ingresses, 60, 1)
			usual := map[shed.Class]float64{lookups: 250, payments: 100, photos: 100}
			before := m.play(10, usual)
			So(before[lookups].completedFraction(), ShouldBeGreaterThan, 0.98)
			surge := map[shed.Class]float64{lookups: 250 * c.surgeFactor, payments: 100 * c.surgeFactor, photos: 100}
			m.play(2, surge)
			after := m.play(20, surge)
			finished := 0.0
			for class, o := range after {
				finished += o.completed * slotSeconds[class]
			}
			So(finished/(60*20), ShouldBeGreaterThan, 0.8)
			So(after[payments].completedFraction(), ShouldBeGreaterThan, c.minPayments)
			So(after[payments].completedFraction(), ShouldBeGreaterThan, after[lookups].completedFraction())
			So(after[photos].completedFraction(), ShouldBeGreaterThan, 0.99)
			// Lookups keep a minimum, 0.42 (equalShare) of what they would get if all classes were equal; the bound is a little lower.
			So(after[lookups].completedFraction(), ShouldBeGreaterThan, 0.4*60/(45*c.surgeFactor))
		}
	})
	// Guards against corrections left over from a surge that keep rejecting requests after it.
	Convey("Three seconds after the surge nearly all requests are admitted", t, func() {
		m := newModel(16, 60, 2)
		usual := map[shed.Class]float64{lookups: 250, payments: 100, photos: 100}
		m.play(5, usual)
		m.play(10, map[shed.Class]float64{lookups: 2500, payments: 1000, photos: 100})
		m.play(3, usual)
		for _, o := range m.play(10, usual) {
			So(o.completedFraction(), ShouldBeGreaterThan, 0.98)
		}
	})
	// Guards against overload of the remaining slots when an instance is lost.
	Convey("With fewer slots fewer requests are admitted, and those complete", t, func() {
		m := newModel(16, 60, 3)
		usual := map[shed.Class]float64{lookups: 250, payments: 100, photos: 100}
		m.play(5, usual)
		m.slots = 40
		m.play(2, usual)
		after := m.play(10, usual)
		So((after[lookups].completed*slotSeconds[lookups]+after[payments].completed*slotSeconds[payments])/(40*10), ShouldBeGreaterThan, 0.85)
		So(after[payments].completedFraction(), ShouldBeGreaterThan, 0.95)
	})
}
