package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
)

// TestLeaseRenewal guards against a daemon that refuses all requests of organisations with a rate while the store is down, and against one that
// doesn't notice that it is cut off.
func TestLeaseRenewal(t *testing.T) {
	const hosts = 4
	cases := []struct {
		name string
		// daemons is the number of daemons whose reports are in the plan.
		daemons int
		// storeAnswers means that the store has just answered this daemon.
		storeAnswers, renewed bool
	}{
		{"most daemons are heard, the store is down", 3, false, true},
		{"the store answers, few daemons are heard", 1, true, true},
		{"half of the daemons are heard, the store is down", 2, false, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			r, now := newRouterBeside(hosts), time.Now()
			r.quota.Configure(map[string]quota.RateLimit{"o": {PerSecond: 1000, Burst: 1000}})
			r.quota.Renew(now.Add(-quota.ShareLease))
			if c.storeAnswers {
				r.control.fresh.RecordAnswer(now)
			}
			r.reporter.renewLease(collect.Plan{Daemons: c.daemons}, now)
			So(r.quota.Admit("o", now.Add(quota.ShareLease/2)).Admitted, ShouldEqual, c.renewed)
		})
	}
}
