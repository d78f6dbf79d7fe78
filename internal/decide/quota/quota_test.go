package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fleet is daemons that tell each other their counters through a collector.
type fleet struct {
	daemons []*Quota
	told    []map[string]float64
	totals  map[string]float64
}

func newFleet(n int, r Rate) *fleet {
	f := &fleet{}
	for range n {
		q := New()
		q.Configure(map[string]Rate{"o": r}, time.Unix(1000, 0))
		q.Share(n)
		f.daemons = append(f.daemons, q)
	}
	f.told = make([]map[string]float64, n)
	return f
}

// exchange passes on what was summed up in the last round, and sums up the present one.
func (f *fleet) exchange(now time.Time) {
	before, toldBefore := f.totals, f.told
	f.totals = map[string]float64{}
	f.told = make([]map[string]float64, len(f.daemons))
	for i, q := range f.daemons {
		f.told[i] = q.Demand(now)
		for name, d := range f.told[i] {
			f.totals[name] += d
		}
		if before != nil {
			q.Hear(before, toldBefore[i], len(f.daemons), now)
		}
	}
}

const (
	step  = 5 * time.Millisecond
	round = 300 * time.Millisecond
	// Bounds of the promise: what runs in any window of 5 s.
	window  = 5 * time.Second
	overage = 0.25
	slack   = 20.0
)

// play sends so many requests a second and returns the times of those let in.
func (f *fleet) play(length time.Duration, perSecond func(at time.Duration) float64, hears bool, rng *rand.Rand) (in []time.Duration, sent int) {
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < length; at += step {
		if hears && at%round == 0 {
			f.exchange(start.Add(at))
		}
		n := perSecond(at) * step.Seconds()
		for n > 0 {
			if n >= 1 || rng.Float64() < n {
				sent++
				if f.daemons[rng.IntN(len(f.daemons))].Admit("o", start.Add(at)).Admitted {
					in = append(in, at)
				}
			}
			n--
		}
	}
	return in, sent
}

func most(in []time.Duration) float64 {
	best, from := 0, 0
	for to := range in {
		for in[to]-in[from] > window {
			from++
		}
		best = max(best, to-from+1)
	}
	return float64(best)
}

func allowed(r Rate) float64 { return (r.PerSecond*window.Seconds()+r.Burst)*(1+overage) + slack }

func TestRateHoldsOverAllDaemons(t *testing.T) {
	// One large customer's batch job begins to send nine times its usual. Each of many daemons sees a part of
	// it. Let in whole, it takes the places of seven others that stay within their rates.
	Convey("An organisation that sends many times its rate gets no more than the fleet's bound", t, func() {
		for _, c := range []struct {
			daemons int
			rate    float64
			hears   bool
		}{{1, 46, true}, {14, 46, true}, {14, 46, false}, {14, 10, true}, {72, 46, true}, {72, 200, true}, {72, 200, false}} {
			r := Rate{PerSecond: c.rate, Burst: c.rate}
			f := newFleet(c.daemons, r)
			usual := c.rate / 1.6
			in, sent := f.play(20*time.Second, func(at time.Duration) float64 {
				if at > 8*time.Second {
					return usual * 9
				}
				return usual
			}, c.hears, rand.New(rand.NewPCG(7, uint64(c.daemons))))
			So(sent, ShouldBeGreaterThan, int(allowed(r)))
			So(most(in), ShouldBeLessThanOrEqualTo, allowed(r))
		}
	})
}

func TestWithinTheRateNobodyIsRefused(t *testing.T) {
	// An organisation sends what its plan allows, unevenly over the daemons and in small bursts. A refusal would
	// tell its staff that they are over a rate that they keep.
	Convey("While the daemons hear of each other, requests within the rate are let in", t, func() {
		for _, c := range []struct {
			daemons int
			rate    float64
		}{{14, 46}, {14, 8}, {72, 46}, {72, 10}} {
			f := newFleet(c.daemons, Rate{PerSecond: c.rate, Burst: c.rate})
			usual := c.rate / 1.6
			in, sent := f.play(30*time.Second, func(at time.Duration) float64 {
				if at < 2*time.Second {
					return 0
				}
				if at%(5*time.Second) < time.Second {
					return usual * 1.3
				}
				return usual
			}, true, rand.New(rand.NewPCG(3, uint64(c.daemons))))
			So(float64(len(in))/float64(sent), ShouldBeGreaterThan, 0.99)
		}
	})
	Convey("A daemon that has just started lets its first requests in", t, func() {
		f := newFleet(14, Rate{PerSecond: 46, Burst: 46})
		So(f.daemons[0].Admit("o", time.Unix(1000, 0).Add(time.Second)).Admitted, ShouldBeTrue)
	})
	Convey("Cut off from all others, a daemon lets in its equal part", t, func() {
		f := newFleet(14, Rate{PerSecond: 46, Burst: 46})
		in, sent := f.play(20*time.Second, func(time.Duration) float64 { return 46 / 1.6 }, false, rand.New(rand.NewPCG(5, 5)))
		So(float64(len(in))/float64(sent), ShouldBeGreaterThan, 0.85)
	})
}

func TestWhatIsGivenBack(t *testing.T) {
	// Requests are let in without a token while the whole fleet asks for less than the rate, and then refused for a full service.
	// Were each of them to return a token, the organisation would have a burst that it never saved up, right when the service is full.
	Convey("Only a token that was spent comes back", t, func() {
		now := time.Unix(1000, 0)
		q := New()
		q.Configure(map[string]Rate{"o": {PerSecond: 10, Burst: 3}}, now)
		q.Hear(map[string]float64{"o": 1}, nil, 1, now)
		var free Verdict
		for range 10 {
			free = q.Admit("o", now)
			if !free.Spent {
				break
			}
		}
		So(free.Admitted, ShouldBeTrue)
		So(free.Spent, ShouldBeFalse)
		for range 10 {
			q.GiveBack("o", free, now)
		}
		So(q.meters["o"].tokens, ShouldBeLessThan, 1)
		q.GiveBack("o", Verdict{Spent: true}, now)
		So(q.meters["o"].tokens, ShouldBeGreaterThanOrEqualTo, 1)
	})
}
