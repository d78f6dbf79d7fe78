package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestShareLease guards against a daemon that was cut off from the store and from most daemons and goes on admitting by its share, when the others
// use whole rates again.
func TestShareLease(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name       string
		renewedAt  []time.Duration
		admittedAt time.Duration
		want       bool
	}{
		{"never renewed", nil, time.Hour, true},
		{"within the lease", []time.Duration{0}, ShareLease, true},
		{"after the lease", []time.Duration{0}, ShareLease + time.Millisecond, false},
		{"renewed", []time.Duration{0, 5 * time.Second}, ShareLease + time.Second, true},
		{"renewed again after its end", []time.Duration{0, time.Hour}, time.Hour + time.Second, true},
		{"an older renewal doesn't shorten it", []time.Duration{5 * time.Second, 0}, ShareLease + time.Second, true},
	}
	for _, c := range cases {
		Convey("Requests of an organisation with a rate: "+c.name, t, func() {
			q := New()
			q.Configure(map[string]RateLimit{"o": {PerSecond: 1000, Burst: 1000}})
			for _, at := range c.renewedAt {
				q.Renew(start.Add(at))
			}
			So(q.Admit("o", start.Add(c.admittedAt)).Admitted, ShouldEqual, c.want)
		})
	}
	Convey("An organisation without a rate is not held by the lease, and a refused caller is told when to return", t, func() {
		q := New()
		q.Configure(map[string]RateLimit{"o": {PerSecond: 1000, Burst: 1000}})
		q.Renew(start)
		later := start.Add(time.Minute)
		So(q.Admit("other", later).Admitted, ShouldBeTrue)
		So(q.Admit("o", later).RetryAfter, ShouldEqual, leaseRetryAfter)
	})
}
