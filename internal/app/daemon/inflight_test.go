package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDrainUnderSteadyLoad(t *testing.T) {
	// A daemon leaves while callers go on sending to it, so some request is always at work. A wait for a
	// moment without any lasts for the whole drain time: the host's replacement
	// is late by minutes, or the platform ends the daemon before its idempotency keys were passed on.
	synctest.Test(t, func(t *testing.T) {
		Convey("Requests that begin during the drain don't prolong it, and those before it are waited for", t, func() {
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
		Convey("A request that never ends holds the drain up for the limit, and the next drain again", t, func() {
			f := newInFlight()
			f.begin()
			for range 2 {
				begun := time.Now()
				f.drain(time.Minute)
				So(time.Since(begun), ShouldBeBetween, time.Minute-time.Second, time.Minute+time.Second)
			}
		})
	})
}
