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

// decisionChan is a Waiter with capacity for one decision.
type decisionChan chan Decision

func (w decisionChan) Decide(d Decision) { w <- d }

// outcome is the decision on one request and the time until its end.
type outcome struct {
	decision Decision
	after    time.Duration
}

// send passes one request through the gate and holds its slot for the time of its work, as the daemon does.
func send(g *Gate, organisation, operation string, p call.Priority, timeout, work time.Duration) outcome {
	start := time.Now()
	w := make(decisionChan, 1)
	t := &Ticket{Organisation: organisation, Operation: operation, Weight: 1, Priority: p, Deadline: start.Add(timeout), Waiter: w}
	d := g.Arrive(start, t)
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
	return outcome{d, time.Since(start)}
}

// stream describes the requests of one organisation.
type stream struct {
	organisation string
	priority     call.Priority
	every        time.Duration
	work         time.Duration
	timeout      time.Duration
	burst        int
}

// counts sums up the outcomes of one stream.
type counts struct {
	sent, inTime, late int
	retryAfters        []time.Duration
}

// run sends the streams for a time on a fake clock and counts the outcomes of each.
func run(t *testing.T, g *Gate, length time.Duration, streams []stream) []counts {
	results := make([]counts, len(streams))
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for i, s := range streams {
			all.Go(func() {
				for start := time.Now(); time.Since(start) < length; time.Sleep(s.every) {
					for range max(s.burst, 1) {
						all.Go(func() {
							o := send(g, s.organisation, s.organisation, s.priority, s.timeout, s.work)
							mu.Lock()
							defer mu.Unlock()
							results[i].add(o, s.timeout)
						})
					}
				}
			})
		}
		all.Wait()
	})
	return results
}

func (s *counts) add(o outcome, timeout time.Duration) {
	s.sent++
	switch {
	case o.decision.Verdict == Run && o.after <= timeout:
		s.inTime++
	case o.decision.Verdict == Run:
		s.late++
	default:
		s.retryAfters = append(s.retryAfters, o.decision.RetryAfter)
	}
}

func (s *counts) fractionInTime() float64 { return float64(s.inTime) / float64(s.sent) }

const ms = time.Millisecond

func TestOutcomesUnderLoad(t *testing.T) {
	// Ten slots of 10 ms serve one request a millisecond.
	cases := []struct {
		name    string
		streams []stream
		// minFractions and maxFractions bound the fraction of each stream's requests that run in time.
		minFractions []float64
		maxFractions []float64
	}{
		{
			"a burst as long as the maximum wait is served",
			[]stream{{"a", call.Standard, 2 * time.Second, 10 * ms, time.Second, 200}},
			[]float64{1},
			[]float64{1},
		},
		{
			"skewed demand: one organisation at five times its share doesn't affect the others",
			[]stream{
				{"greedy", call.Standard, ms, 10 * ms, time.Second, 2},
				{"b", call.Standard, 4 * ms, 10 * ms, time.Second, 1},
				{"c", call.Standard, 4 * ms, 10 * ms, time.Second, 1},
			},
			[]float64{0.2, 0.98, 0.98},
			[]float64{0.3, 1, 1},
		},
		{
			"full saturation: an interactive request is shed after all others",
			[]stream{
				{"a", call.Interactive, 2 * ms, 10 * ms, time.Second, 1},
				{"a", call.Standard, ms, 10 * ms, time.Second, 1},
				{"b", call.Background, ms, 10 * ms, time.Second, 1},
			},
			[]float64{0.99, 0.4, 0.01},
			[]float64{1, 0.6, 0.1},
		},
		{
			"long and short requests of organisations with equal weights: the short ones are served",
			[]stream{
				{"files", call.Standard, 100 * ms, 200 * ms, 2 * time.Second, 10},
				{"lookups", call.Standard, 4 * ms, 10 * ms, time.Second, 1},
			},
			[]float64{0.2, 0.9},
			[]float64{0.6, 1},
		},
	}
	for _, c := range cases {
		results := run(t, New(limit.NewFixed(10)), 10*time.Second, c.streams)
		Convey(c.name, t, func() {
			for i, s := range results {
				So(s.fractionInTime(), ShouldBeGreaterThanOrEqualTo, c.minFractions[i])
				So(s.fractionInTime(), ShouldBeLessThanOrEqualTo, c.maxFractions[i])
				So(s.late, ShouldEqual, 0)
			}
		})
	}
}

// Guards against synchronised retries: refused callers that all receive the same delay retry together, and the surge that had passed
// starts again, so users see one outage follow the other.
func TestRetryAfterIsSpread(t *testing.T) {
	results := run(t, New(limit.NewFixed(10)), time.Second, []stream{{"a", call.Standard, 2 * time.Second, 10 * ms, time.Second, 1500}})
	Convey("The Retry-After delays of one burst are spread over the time that its requests would take", t, func() {
		// The first 10 run; until the first run ends the hold time is unknown, so the queue is filled to its maximum length.
		retryAfters := results[0].retryAfters
		So(len(retryAfters), ShouldBeGreaterThan, 200)
		distinct, latest := map[time.Duration]bool{}, time.Duration(0)
		for _, retryAfter := range retryAfters {
			distinct[retryAfter/(10*ms)] = true
			latest = max(latest, retryAfter)
			So(retryAfter, ShouldBeBetweenOrEqual, comeback.MinDelay, comeback.MaxDelay)
		}
		So(len(distinct), ShouldBeGreaterThan, 20)
	})
}

// Guards against a pause that becomes an outage: the upstream stalls, callers give up, and the last observed hold times exceed every
// deadline. A gate that kept refusing on them would never learn that the upstream has recovered.
func TestRecoversAfterSlowdown(t *testing.T) {
	Convey("Requests run again within 2 s of the end of a slowdown", t, func() {
		synctest.Test(t, func(t *testing.T) {
			g := New(limit.NewFixed(2))
			for range 20 {
				send(g, "a", "op", call.Standard, 10*time.Second, 3*time.Second)
			}
			ok := 0
			for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(20 * ms) {
				if send(g, "a", "op", call.Standard, 500*ms, 10*ms).decision.Verdict == Run {
					ok++
				}
			}
			if ok < 40 {
				t.Fatalf("%d of about 66 ran", ok)
			}
		})
	})
}
