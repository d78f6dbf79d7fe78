package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// busiestWindow returns the highest number of the sorted times that fall into one window of the length.
func busiestWindow(times []time.Time, length time.Duration) int {
	busiest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= length {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}

// offer sends requests to the gate at random times, 200 a second, for the length.
func offer(load *pacedLoad, g *Gate, length time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))) {
		work := time.Duration(rng.ExpFloat64() * float64(80*time.Millisecond))
		all.Go(func() { load.send(g, call.Standard, 0, work) })
	}
	all.Wait()
}

// TestRateLimitOfUpstream guards against an upstream that states how many requests a second it takes and gets many more.
func TestRateLimitOfUpstream(t *testing.T) {
	const length = 20 * time.Second
	Convey("Whatever arrives, the starts keep the stated limit, and use it", t, func() {
		for _, perSecond := range []float64{0, 0.1, 0.5, 3.5, 10, 50} {
			load := &pacedLoad{}
			synctest.Test(t, func(*testing.T) {
				pacer := &Pacer{}
				pacer.Limit(perSecond, time.Now())
				offer(load, New(limit.NewFixed(100), WithPacer(pacer)), length)
			})
			used := max(perSecond, 1/maxLimitInterval.Seconds())
			So(busiestWindow(load.starts, 4*time.Second), ShouldBeLessThanOrEqualTo, int(4*used+1))
			So(float64(len(load.starts)), ShouldBeGreaterThan, 0.6*used*length.Seconds())
		}
	})
	Convey("A very large limit is none", t, func() {
		pacer := &Pacer{}
		pacer.Limit(1e300, time.Now())
		So(pacer.Interval(time.Now()), ShouldEqual, 0)
	})
	Convey("The lower one of a rate limit and the pace of a warm-up holds, in whatever order they come", t, func() {
		now := time.Unix(1000, 0)
		for _, c := range []struct {
			name      string
			perSecond float64
			reason    call.Reason
		}{{"limit", 2, call.UpstreamLimited}, {"warm-up", 100, call.WarmingUp}} {
			for _, limitFirst := range []bool{false, true} {
				pacer := &Pacer{}
				if limitFirst {
					pacer.Limit(c.perSecond, now)
				}
				pacer.Pace(14, now.Add(3*time.Second))
				if !limitFirst {
					pacer.Limit(c.perSecond, now)
				}
				g := New(limit.NewFixed(100), WithPacer(pacer))
				So(g.shortage(now), ShouldEqual, c.reason)
				So(pacer.Interval(now), ShouldEqual, time.Duration(float64(time.Second)/min(c.perSecond, 13)))
				So(pacer.WarmUpInterval(now), ShouldEqual, time.Second/13)
				So(pacer.Interval(now.Add(3*time.Second)), ShouldEqual, time.Duration(float64(time.Second)/c.perSecond))
			}
		}
	})
}

func TestRateLimitChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	// Guards against an upstream that gets nothing for seconds after it has raised its limit.
	Convey("A higher limit holds from the first response that states it", t, func() {
		pacer := &Pacer{}
		pacer.Limit(0, now)
		So(pacer.take(now), ShouldBeTrue)
		So(pacer.take(now.Add(time.Second)), ShouldBeFalse)
		pacer.Limit(10, now.Add(time.Second))
		So(pacer.take(now.Add(1100*time.Millisecond)), ShouldBeTrue)
		pacer.Unlimit()
		So(pacer.take(now.Add(1101*time.Millisecond)), ShouldBeTrue)
	})
	// Guards against health checks that use up a limit below their own rate, so that no request would ever show that it has ended.
	Convey("Health checks leave room for requests", t, func() {
		pacer, started := &Pacer{}, 0
		pacer.Limit(0.5, now)
		for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
			if at.Sub(now)%time.Second == 0 {
				pacer.Spend(at)
			}
			if pacer.take(at) {
				started++
			}
		}
		So(started, ShouldEqual, 10)
	})
	// Guards against requests that wait at an upstream for a start that comes only after they have been refused, while others have room.
	Convey("A request that can't start within its wait is refused at once, with the time of the next start", t, func() {
		var first, second Decision
		var waited time.Duration
		synctest.Test(t, func(*testing.T) {
			pacer := &Pacer{}
			pacer.Limit(0.5, time.Now())
			g := New(limit.NewFixed(10), WithPacer(pacer))
			send := func() Decision {
				return g.Enter(context.Background(), &Ticket{Operation: "op", Weight: 1, Deadline: time.Now().Add(5 * time.Second)})
			}
			first = send()
			began := time.Now()
			second = send()
			waited = time.Since(began)
		})
		So(first.Verdict, ShouldEqual, Run)
		So(waited, ShouldEqual, 0)
		So(second.Reason, ShouldEqual, call.UpstreamLimited)
		So(second.RetryAfter, ShouldBeGreaterThan, time.Second)
	})
	Convey("Requests that wait when the limit ends start at once", t, func() {
		var waits []time.Duration
		synctest.Test(t, func(*testing.T) {
			pacer := &Pacer{}
			pacer.Limit(10, time.Now())
			g := New(limit.NewFixed(10), WithPacer(pacer))
			var mu sync.Mutex
			var all sync.WaitGroup
			began := time.Now()
			for range 3 {
				all.Go(func() {
					d := g.Enter(context.Background(), &Ticket{Operation: "op", Weight: 1, Deadline: time.Now().Add(5 * time.Second)})
					mu.Lock()
					defer mu.Unlock()
					if d.Verdict == Run {
						waits = append(waits, time.Since(began))
					}
				})
			}
			time.Sleep(50 * time.Millisecond)
			pacer.Unlimit()
			all.Wait()
		})
		So(waits, ShouldResemble, []time.Duration{0, 50 * time.Millisecond, 50 * time.Millisecond})
	})
}
