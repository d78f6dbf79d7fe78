package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// root is a route whose requests call the deep service.
type root struct {
	name string
	rank Rank
	perS float64
	// calls is how many slot-seconds of the deep service one request takes, in one go.
	cost float64
}

// pending is a request's word on its way back.
type pending struct {
	at   int
	root int
	d    *Shedder
	lost bool
}

const (
	tick = 10 * time.Millisecond
	// lag is the time between a request's admission and its answer, in ticks.
	lag = 25
	// room is how long the deep service lets work wait, in seconds.
	room = 0.25
)

// play runs roots over some daemons against a deep service with so many slots, a fluid queue; it returns the share
// of each root's requests that were done in the last third of the time.
func play(daemons int, slots float64, roots []root, seconds int, rng *rand.Rand) []float64 {
	fleet := make([]*Shedder, daemons)
	for i := range fleet {
		fleet[i] = New(WithRand(rng.Float64))
	}
	asked, done := make([]float64, len(roots)), make([]float64, len(roots))
	var words []pending
	queue := 0.0
	now := time.Unix(1000, 0)
	steps := seconds * int(time.Second/tick)
	for step := range steps {
		now = now.Add(tick)
		work := 0.0
		for n, r := range roots {
			for due := r.perS * tick.Seconds(); due > 0; due-- {
				if due < 1 && rng.Float64() >= due {
					continue
				}
				late := step > steps*2/3
				if late {
					asked[n]++
				}
				d := fleet[rng.IntN(daemons)]
				if !d.Admit(Class{Route: r.name, Rank: r.rank}, 0, now).Admitted {
					continue
				}
				lost := r.cost > 0 && queue/slots > room
				if !lost {
					work += r.cost
					if late {
						done[n]++
					}
				}
				words = append(words, pending{at: step + lag, root: n, d: d, lost: lost})
			}
		}
		done := slots * tick.Seconds()
		queue = max(queue+work-done, 0)
		full := min((queue+work)/done, 1) + queue/slots/0.02
		for len(words) > 0 && words[0].at <= step {
			w := words[0]
			words = words[1:]
			met := full
			if roots[w.root].cost == 0 {
				met = 0.1
			}
			w.d.Observe(Class{Route: roots[w.root].name, Rank: roots[w.root].rank}, met, w.lost, now)
		}
	}
	shares := make([]float64, len(roots))
	for n := range roots {
		shares[n] = done[n] / max(asked[n], 1)
	}
	return shares
}

func TestFullServiceDeepDown(t *testing.T) {
	// Lookups and payments both end at a small service deep down, which gets twice what it can do. Without a word at
	// the front, most of both fail after nearly all of their work, and callers come again with more.
	Convey("Daemons that hear nothing of each other serve the more important requests, and what doesn't need the service is untouched", t, func() {
		for _, daemons := range []int{4, 16, 72} {
			shares := play(daemons, 60, []root{
				{"lookup", Rank{2, 2}, 500, 0.15},
				{"payment", Rank{0, 0}, 200, 0.075},
				{"upload", Rank{2, 2}, 100, 0},
			}, 30, rand.New(rand.NewPCG(1, uint64(daemons))))
			So(shares[1], ShouldBeGreaterThan, 0.9)
			// 60 slots less 15 for the payments do 300 lookups a second of 500.
			So(shares[0], ShouldBeBetween, 0.4, 0.65)
			So(shares[2], ShouldBeGreaterThan, 0.99)
		}
	})
	Convey("A service with room turns nobody away", t, func() {
		shares := play(16, 60, []root{{"lookup", Rank{2, 2}, 250, 0.15}}, 20, rand.New(rand.NewPCG(2, 2)))
		So(shares[0], ShouldBeGreaterThan, 0.98)
	})
}

func TestPartsOfTheFleet(t *testing.T) {
	lane, other := Class{Route: "lookup"}, Class{Route: "upload"}
	now := time.Unix(1000, 0)
	Convey("What the fleet can do holds until it is told anew, and lanes that aren't named are not cut", t, func() {
		draw := 0.0
		s := New(WithRand(func() float64 { return draw }))
		s.Apply([]Allocation{{Class: lane, AdmitFraction: 0.25}}, now)
		for _, c := range []struct {
			draw     float64
			admitted bool
		}{{0.7, false}, {0.8, true}} {
			draw = c.draw
			So(s.Admit(lane, 0, now).Admitted, ShouldEqual, c.admitted)
			So(s.Admit(other, 0, now).Admitted, ShouldBeTrue)
		}
		s.Observe(lane, 8, true, now.Add(time.Second))
		So(s.Admit(lane, 0, now.Add(time.Second)).RejectFraction, ShouldEqual, 0.75)
		s.Apply(nil, now.Add(time.Second))
		So(s.Admit(lane, 0, now.Add(time.Second)).RejectFraction, ShouldEqual, 0)
	})
	Convey("What was asked is told as a rate, which fades when nothing more is asked", t, func() {
		s := New()
		s.Demand(now)
		for range 30 {
			s.Admit(lane, 0, now)
		}
		now := now.Add(300 * time.Millisecond)
		So(s.Demand(now), ShouldResemble, []Rate{{Class: lane, PerSecond: 60}})
		for range 10 {
			now = now.Add(300 * time.Millisecond)
			s.Demand(now)
		}
		So(s.Demand(now.Add(300*time.Millisecond)), ShouldBeEmpty)
	})
}

func TestRoomAgain(t *testing.T) {
	// A burst is over, but the front goes on turning callers away: the share that it holds is from the burst.
	lane := Class{Route: "r", Rank: Rank{2, 2}}
	Convey("Answers that speak of room open the front within seconds, and silence does too", t, func() {
		for _, answers := range []bool{true, false} {
			s := New(WithRand(func() float64 { return 0 }))
			now := time.Unix(1000, 0)
			for range 300 {
				now = now.Add(tick)
				s.Observe(lane, 3, true, now)
			}
			So(s.Admit(lane, 0, now).Admitted, ShouldBeFalse)
			for range 600 {
				now = now.Add(tick)
				if answers {
					s.Observe(lane, 0.5, false, now)
				} else {
					s.Admit(lane, 0, now)
				}
			}
			So(s.Admit(lane, 0, now).RejectFraction, ShouldEqual, 0)
		}
	})
}
