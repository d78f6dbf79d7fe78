package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDrainUnderSteadyLoad(t *testing.T) {
	// A daemon leaves while callers keep sending, so that some request is always in flight. If it waited for a moment without
	// requests, the drain would take its whole limit: the host's replacement would be late by minutes, or the platform would
	// end the daemon before it has transferred its idempotency keys.
	synctest.Test(t, func(t *testing.T) {
		Convey("A drain waits for the requests that began before it, and not for later ones", t, func() {
			f := newInFlight()
			slow := f.begin()
			slowEnds := time.Now().Add(3 * time.Second)
			time.AfterFunc(3*time.Second, slow.end)
			stop := make(chan struct{})
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						time.AfterFunc(20*time.Millisecond, f.begin().end)
					}
				}
			}()
			f.drain(time.Minute)
			So(time.Now(), ShouldHappenOnOrAfter, slowEnds)
			So(time.Now(), ShouldHappenBefore, slowEnds.Add(time.Second))
			So(f.total.Load(), ShouldBeGreaterThan, 0)
			close(stop)
			synctest.Wait()
			f.drain(time.Minute)
			So(f.total.Load(), ShouldEqual, 0)
		})
		Convey("With a request that never ends, each drain takes its limit", t, func() {
			f := newInFlight()
			f.begin()
			for range 2 {
				started := time.Now()
				f.drain(time.Minute)
				So(time.Since(started), ShouldBeBetween, time.Minute-time.Second, time.Minute+time.Second)
			}
		})
	})
}
