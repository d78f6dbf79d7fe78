package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// busiestSecond returns the highest number of the sorted times that fall into one second.
func busiestSecond(times []time.Time) int { return busiestWindow(times, time.Second) }

// pacedLoad sends requests through gates that share a pacer, and returns the times of their starts and the decisions on the refused ones.
type pacedLoad struct {
	mu      sync.Mutex
	starts  []time.Time
	refused []Decision
}

func (l *pacedLoad) send(g *Gate, p call.Priority, patience, work time.Duration) bool {
	t := &Ticket{Organisation: "a", Operation: "op", Weight: 1, Priority: p, Deadline: time.Now().Add(5 * time.Second), Patience: patience}
	d := g.Enter(context.Background(), t)
	l.mu.Lock()
	if d.Verdict == Run {
		l.starts = append(l.starts, time.Now())
	} else {
		l.refused = append(l.refused, d)
	}
	l.mu.Unlock()
	if d.Verdict != Run {
		return false
	}
	time.Sleep(work)
	g.Settle(time.Now(), t, Result{Own: work})
	return true
}

func TestPacedStarts(t *testing.T) {
	// Guards against an upstream that crashes again right after its start, because it gets all the requests that its slots could hold.
	Convey("No second holds more starts than the rate, whatever arrives, and the rate is used", t, func() {
		for _, rate := range []float64{1, 2, 14, 50} {
			load, length := &pacedLoad{}, 20*time.Second
			synctest.Test(t, func(*testing.T) {
				rng := rand.New(rand.NewPCG(1, uint64(rate)))
				pacer := &Pacer{}
				// A second gate stands for the requests that still wait at the gate of the upstream's former incarnation.
				gates := []*Gate{New(limit.NewFixed(100), WithPacer(pacer)), New(limit.NewFixed(100), WithPacer(pacer))}
				pacer.Pace(rate, time.Now().Add(length))
				var all sync.WaitGroup
				for begin := time.Now(); time.Since(begin) < length; time.Sleep(time.Duration(rng.ExpFloat64() * float64(4*time.Millisecond))) {
					g, priority, work := gates[rng.IntN(2)], call.Priority(rng.IntN(4)), time.Duration(rng.ExpFloat64()*float64(80*time.Millisecond))
					all.Go(func() { load.send(g, priority, 0, work) })
				}
				all.Wait()
			})
			paced := load.starts[:0:0]
			for _, at := range load.starts {
				if at.Sub(load.starts[0]) < length-time.Second {
					paced = append(paced, at)
				}
			}
			So(busiestSecond(paced), ShouldBeLessThanOrEqualTo, int(rate))
			So(float64(len(paced)), ShouldBeGreaterThan, 0.45*rate*(length-time.Second).Seconds())
		}
	})
	Convey("The most urgent of what waits starts first, and the others hear early that another upstream must do", t, func() {
		load := &pacedLoad{}
		served := map[call.Priority]int{}
		var mu sync.Mutex
		synctest.Test(t, func(*testing.T) {
			pacer := &Pacer{}
			g := New(limit.NewFixed(100), WithPacer(pacer))
			pacer.Pace(14, time.Now().Add(10*time.Second))
			var all sync.WaitGroup
			for range 400 {
				for _, p := range []call.Priority{call.Background, call.Interactive} {
					all.Go(func() {
						if load.send(g, p, 0, 10*time.Millisecond) {
							mu.Lock()
							defer mu.Unlock()
							served[p]++
						}
					})
				}
				time.Sleep(10 * time.Millisecond)
			}
			all.Wait()
		})
		So(served[call.Interactive], ShouldBeGreaterThan, 8*served[call.Background])
		for _, d := range load.refused {
			So(d.Reason, ShouldEqual, call.WarmingUp)
			So(d.RetryAfter, ShouldBeGreaterThan, 0)
		}
	})
	// Guards against requests that wait until their time is over although the upstream is warm.
	Convey("What waits starts when the pacing ends", t, func() {
		synctest.Test(t, func(t *testing.T) {
			pacer, load, begin := &Pacer{}, &pacedLoad{}, time.Now()
			g := New(limit.NewFixed(100), WithPacer(pacer))
			pacer.Pace(1, begin.Add(time.Second))
			var all sync.WaitGroup
			for range 10 {
				all.Go(func() { load.send(g, call.Standard, 20*time.Second, time.Millisecond) })
			}
			all.Wait()
			if len(load.starts) != 10 || time.Since(begin) > 1100*time.Millisecond {
				t.Fatalf("%d of 10 started, the last after %v", len(load.starts), time.Since(begin))
			}
		})
	})
	// Guards against a cold upstream that gets no requests at all, since those that it got while it was warm count against its pace.
	Convey("Starts from before the pacing delay the first paced one by a second at most", t, func() {
		synctest.Test(t, func(t *testing.T) {
			pacer, load := &Pacer{}, &pacedLoad{}
			g := New(limit.NewFixed(100), WithPacer(pacer))
			pacer.Pace(14, time.Now())
			var all sync.WaitGroup
			for range 1000 {
				all.Go(func() { load.send(g, call.Standard, 0, time.Millisecond) })
				time.Sleep(time.Millisecond)
			}
			all.Wait()
			load.starts = load.starts[:0]
			restarted := time.Now()
			pacer.Pace(14, restarted.Add(3*time.Second))
			for time.Since(restarted) < 3*time.Second {
				all.Go(func() { load.send(g, call.Standard, 0, time.Millisecond) })
				time.Sleep(time.Millisecond)
			}
			all.Wait()
			paced := slices.DeleteFunc(load.starts, func(at time.Time) bool { return at.Sub(restarted) >= 3*time.Second })
			if len(paced) < 2*13 || len(paced) > 3*14 {
				t.Fatalf("%d started in the three seconds in which the upstream was cold, at 14 a second", len(paced))
			}
		})
	})
	// Guards against an upstream that gets nothing for seconds after a false suspicion of a restart, since all arrivals wait behind the
	// requests that waited for their pace.
	Convey("What waits starts when the pacing is stopped early, and so does what arrives then", t, func() {
		synctest.Test(t, func(t *testing.T) {
			pacer, load := &Pacer{}, &pacedLoad{}
			g := New(limit.NewFixed(100), WithPacer(pacer), WithWait(250*time.Millisecond))
			pacer.Pace(14, time.Now())
			var all sync.WaitGroup
			for n := range 2000 {
				switch n {
				case 500:
					pacer.Pace(14, time.Now().Add(3*time.Second))
				case 550:
					pacer.Stop()
				}
				all.Go(func() { load.send(g, call.Standard, 0, 5*time.Millisecond) })
				time.Sleep(time.Millisecond)
			}
			all.Wait()
			if len(load.refused) > 50 {
				t.Fatalf("%d of 2,000 refused, though the pace was in force for 50 ms", len(load.refused))
			}
		})
	})
	Convey("What waits starts when the pacing is stopped though nothing else arrives or ends", t, func() {
		synctest.Test(t, func(t *testing.T) {
			pacer, load, begin := &Pacer{}, &pacedLoad{}, time.Now()
			g := New(limit.NewFixed(100), WithPacer(pacer))
			pacer.Pace(1, begin.Add(time.Minute))
			pacer.Spend(begin)
			var all sync.WaitGroup
			for range 3 {
				all.Go(func() { load.send(g, call.Standard, 20*time.Second, time.Millisecond) })
			}
			time.Sleep(50 * time.Millisecond)
			pacer.Stop()
			all.Wait()
			if len(load.starts) != 3 || time.Since(begin) > 100*time.Millisecond {
				t.Fatalf("%d of 3 started, the last after %v", len(load.starts), time.Since(begin))
			}
		})
	})
	Convey("A paced gate reports the slots that its pace can fill", t, func() {
		now, pacer := time.Unix(0, 0), &Pacer{}
		g := New(limit.NewFixed(100), WithPacer(pacer))
		So(g.UsableSlots(now), ShouldEqual, 100)
		pacer.Pace(11, now.Add(time.Second))
		So(g.UsableSlots(now), ShouldEqual, 1)
		for range 200 {
			ticket := &Ticket{Operation: "op", Deadline: now.Add(time.Minute)}
			g.start(now, ticket)
			g.Settle(now.Add(400*time.Millisecond), ticket, Result{})
		}
		So(g.UsableSlots(now), ShouldBeBetweenOrEqual, 4, 5)
		So(g.UsableSlots(now.Add(time.Second)), ShouldEqual, 100)
	})
}
