package member

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Regions lose each other for an hour. A caller whose booking is held in the other one is told when to come back;
// told one second each time, it would be refused three thousand times.
func TestBack(t *testing.T) {
	cases := []struct {
		name     string
		failures int
		away     time.Duration
		want     time.Duration
	}{
		{"a host that answers", 0, 0, 0},
		{"one failure says nothing yet", 1, time.Hour, 0},
		{"a suspect of this moment", 2, 0, probeEvery},
		{"as long as it was away", 2, 7 * time.Second, 7 * time.Second},
		{"not for much longer than a heal takes", 9, time.Hour, mostBack},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			table, now := New(), time.Now()
			table.SetHosts(hosts("a"))
			for i := range c.failures {
				table.Failed("a", now.Add(time.Duration(i)*c.away))
			}
			end := now.Add(c.away + time.Duration(max(c.failures-1, 0))*c.away)
			if c.failures > 2 {
				end = now.Add(2 * c.away)
			}
			So(table.View(end).Back("a", end), ShouldEqual, c.want)
			table.Reached("a")
			So(table.View(end).Back("a", end), ShouldEqual, 0)
		})
	}
}
