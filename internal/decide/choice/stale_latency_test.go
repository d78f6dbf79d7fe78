package choice

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// TestStaleLatency guards against an instance that was slow for a moment, or limited its rate, and is never sent a request again while another one
// is free.
func TestStaleLatency(t *testing.T) {
	Convey("A latency counts only while it is recent", t, func() {
		now := time.Unix(1000, 0)
		b := New("a")
		instances := []routing.Instance{{ID: "slow", Service: "s", Zone: "a", Slots: 8}, {ID: "fast", Service: "s", Zone: "a", Slots: 8}}
		load := call.Load{Limit: 8}
		// served sends 100 requests over the time and returns how many of them the slow instance got.
		served := func(over time.Duration, slow time.Duration) int {
			count := 0
			for range 100 {
				now = now.Add(over / 100)
				inst, _ := b.Pick([]routing.Instance{instances[0], instances[1]}, nil, time.Second, now)
				took := time.Millisecond
				if inst.ID == "slow" {
					count, took = count+1, slow
				}
				b.Record(inst, Served, took, load, now)
			}
			return count
		}
		b.Record(instances[0], Served, 250*time.Millisecond, load, now)
		b.Record(instances[1], Served, time.Millisecond, load, now)
		So(served(time.Second, time.Millisecond), ShouldEqual, 0)
		Convey("an instance that is still slow is tried once in a while", func() {
			So(served(4*latencyTTL, 250*time.Millisecond), ShouldBeBetweenOrEqual, 1, 8)
		})
		Convey("one that has recovered serves its part again", func() {
			served(latencyTTL, time.Millisecond)
			So(served(time.Second, time.Millisecond), ShouldBeBetween, 20, 80)
		})
	})
}
