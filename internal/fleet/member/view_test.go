package member

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Regions are partitioned for an hour. A caller whose idempotency key is held in the other region is refused with a
// Retry-After delay; if that were one second each time, it would be refused three thousand times.
func TestRetryDelay(t *testing.T) {
	cases := []struct {
		name            string
		failures        int
		failureInterval time.Duration
		want            time.Duration
	}{
		{"a host that answers", 0, 0, 0},
		{"a host with one failure", 1, time.Hour, 0},
		{"a host that has just become a suspect", 2, 0, probeInterval},
		{"as long as the host was unreachable", 2, 7 * time.Second, 7 * time.Second},
		{"at most maxRetryDelay", 9, time.Hour, maxRetryDelay},
	}
	for _, test := range cases {
		Convey(test.name, t, func() {
			table, now := New(), time.Now()
			table.SetHosts(hosts("a"))
			for i := range test.failures {
				table.Failed("a", now.Add(time.Duration(i)*test.failureInterval))
			}
			end := now.Add(test.failureInterval + time.Duration(max(test.failures-1, 0))*test.failureInterval)
			if test.failures > 2 {
				end = now.Add(2 * test.failureInterval)
			}
			So(table.View(end).RetryDelay("a", end), ShouldEqual, test.want)
			table.Reached("a")
			So(table.View(end).RetryDelay("a", end), ShouldEqual, 0)
		})
	}
}
