package admission

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

type told chan Decision

func (w told) Decide(d Decision) { w <- d }

// outcome is what one caller saw.
type outcome struct {
	decision Decision
	after    time.Duration
}

// ask sends one request through the gate and holds its slot for a time, as the daemon does.
func ask(g *Gate, organisation, operation string, p call.Priority, timeout, work time.Duration) outcome {
	begun := time.Now()
	w := make(told, 1)
	t := &Ticket{Organisation: organisation, Operation: operation, Weight: 1, Priority: p, Deadline: begun.Add(timeout), Waiter: w}
	d := g.Arrive(begun, t)
	if d.Verdict == Wait {
		select {
		case d = <-w:
		case <-time.After(time.Until(t.StartBy())):
			if left, ok := g.Leave(time.Now(), t); ok {
				d = left
			} else {
				d = <-w
			}
		}
	}
	if d.Verdict == Run {
		time.Sleep(work)
		g.Settle(time.Now(), t, Result{Own: work})
	}
	return outcome{d, time.Since(begun)}
}

// load is a stream of requests of one organisation.
type load struct {
	organisation string
	priority     call.Priority
	every        time.Duration
	work         time.Duration
	timeout      time.Duration
	burst        int
}

type score struct {
	sent, run, late int
	backs           []time.Duration
}

// drive runs the loads for a time in a bubble and scores each.
func drive(t *testing.T, g *Gate, length time.Duration, loads []load) []score {
	scores := make([]score, len(loads))
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for at, l := range loads {
			all.Go(func() {
				for begun := time.Now(); time.Since(begun) < length; time.Sleep(l.every) {
					for range max(l.burst, 1) {
						all.Go(func() {
							o := ask(g, l.organisation, l.organisation, l.priority, l.timeout, l.work)
							mu.Lock()
							defer mu.Unlock()
							scores[at].add(o, l.timeout)
						})
					}
				}
			})
		}
		all.Wait()
	})
	return scores
}

func (s *score) add(o outcome, timeout time.Duration) {
	s.sent++
	switch {
	case o.decision.Verdict == Run && o.after <= timeout:
		s.run++
	case o.decision.Verdict == Run:
		s.late++
	default:
		s.backs = append(s.backs, o.decision.RetryAfter)
	}
}

func (s *score) share() float64 { return float64(s.run) / float64(s.sent) }

const ms = time.Millisecond

func TestOutcomesUnderLoad(t *testing.T) {
	// Ten slots of 10 ms serve one request a millisecond.
	cases := []struct {
		name  string
		loads []load
		// least is the share of each load that must run in time.
		least []float64
		most  []float64
	}{
		{
			"a burst of a whole queue time is served",
			[]load{{"a", call.Standard, 2 * time.Second, 10 * ms, time.Second, 200}},
			[]float64{1},
			[]float64{1},
		},
		{
			"skewed demand: one organisation at five times its share costs the others nothing",
			[]load{
				{"greedy", call.Standard, ms, 10 * ms, time.Second, 2},
				{"b", call.Standard, 4 * ms, 10 * ms, time.Second, 1},
				{"c", call.Standard, 4 * ms, 10 * ms, time.Second, 1},
			},
			[]float64{0.2, 0.98, 0.98},
			[]float64{0.3, 1, 1},
		},
		{
			"full saturation: an interactive request is shed after all others",
			[]load{
				{"a", call.Interactive, 2 * ms, 10 * ms, time.Second, 1},
				{"a", call.Standard, ms, 10 * ms, time.Second, 1},
				{"b", call.Background, ms, 10 * ms, time.Second, 1},
			},
			[]float64{0.99, 0.4, 0.01},
			[]float64{1, 0.6, 0.1},
		},
		{
			"long and short work of equal organisations: the short is served",
			[]load{
				{"files", call.Standard, 100 * ms, 200 * ms, 2 * time.Second, 10},
				{"lookups", call.Standard, 4 * ms, 10 * ms, time.Second, 1},
			},
			[]float64{0.2, 0.9},
			[]float64{0.6, 1},
		},
	}
	for _, c := range cases {
		scores := drive(t, New(limit.NewFixed(10)), 10*time.Second, c.loads)
		Convey(c.name, t, func() {
			for i, s := range scores {
				So(s.share(), ShouldBeGreaterThanOrEqualTo, c.least[i])
				So(s.share(), ShouldBeLessThanOrEqualTo, c.most[i])
				So(s.late, ShouldEqual, 0)
			}
		})
	}
}

// Refused callers that all hear the same time come back together, and the surge
// that had passed starts again; users see one outage follow the other.
func TestComeBackTimesAreSpread(t *testing.T) {
	scores := drive(t, New(limit.NewFixed(10)), time.Second, []load{{"a", call.Standard, 2 * time.Second, 10 * ms, time.Second, 1500}})
	Convey("Those refused in one burst are told times spread over what they would take", t, func() {
		// The first 10 run; until the first run ends nothing is known of the pace, so the queue takes what it can hold.
		backs := scores[0].backs
		So(len(backs), ShouldBeGreaterThan, 200)
		distinct, latestBack := map[time.Duration]bool{}, time.Duration(0)
		for _, b := range backs {
			distinct[b/(10*ms)] = true
			latestBack = max(latestBack, b)
			So(b, ShouldBeBetweenOrEqual, comeback.MinDelay, comeback.MaxDelay)
		}
		So(len(distinct), ShouldBeGreaterThan, 20)
	})
}

// The upstream stalls, callers give up, and what the gate last saw is a latency
// beyond every deadline. Refusing on that forever would turn a pause into an outage.
func TestRecoversAfterSlowTime(t *testing.T) {
	Convey("Within 2 s of the end of a slow time requests run again", t, func() {
		synctest.Test(t, func(t *testing.T) {
			g := New(limit.NewFixed(2))
			for range 20 {
				ask(g, "a", "op", call.Standard, 10*time.Second, 3*time.Second)
			}
			ok := 0
			for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(20 * ms) {
				if ask(g, "a", "op", call.Standard, 500*ms, 10*ms).decision.Verdict == Run {
					ok++
				}
			}
			if ok < 40 {
				t.Fatalf("%d of about 66 ran", ok)
			}
		})
	})
}
