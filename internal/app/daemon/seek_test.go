package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// delayedRateLimiter borrows the tokens of one organisation from a full home that answers after a while.
func delayedRateLimiter(metrics *telemetry.Metrics, delay time.Duration) *rateLimiter {
	now := time.Now()
	home := rate.Member{Host: "home"}
	plans := []lists.Organisation{{Organisation: "dealer", Plan: "full", Rate: 1000, Burst: 1000}}
	limits := rate.DefaultLimits()
	begun := now.Add(-24 * time.Hour)
	lender := rate.NewHome(home, 1, limits, begun)
	lender.SetPlans(plans, begun)
	lender.SetList(1, []rate.Member{home}, begun)
	borrower := rate.NewBorrower("h", 1, limits)
	borrower.SetPlans(plans)
	borrower.SetList(1, []rate.Member{home})
	r := &rateLimiter{daemon: &Daemon{metrics: metrics}, borrower: borrower, searches: newTokenSearches()}
	var mu sync.Mutex
	r.requestTokens = func(_ context.Context, ask rate.Ask) time.Duration {
		asked := time.Now()
		time.Sleep(delay)
		mu.Lock()
		defer mu.Unlock()
		return borrower.Hear(home, lender.AnswerLease(ask.Message, time.Now()), asked, time.Now())
	}
	return r
}

// Requests of an organisation far inside its rate come in without a pause, and each waits a moment for a token, so
// that one search for tokens follows the requests on. Those that came when it had gone on for long were refused as
// over the rate, though the home had answered each question with tokens.
func TestSearchContinuesWhileHomesGrantTokens(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
	}{
		{"a home near by", time.Millisecond},
		{"a home in another region", 45 * time.Millisecond},
	}
	for _, c := range cases {
		Convey("With "+c.name+", nobody inside the rate is refused", t, func() {
			metrics := telemetry.NewMetrics("h", "a")
			synctest.Test(t, func(t *testing.T) {
				r := delayedRateLimiter(metrics, c.delay)
				var refused atomic.Int32
				var all sync.WaitGroup
				for range 600 {
					all.Go(func() {
						if _, _, ok := r.Spend(t.Context(), "dealer"); !ok {
							refused.Add(1)
						}
					})
					time.Sleep(5 * time.Millisecond)
				}
				all.Wait()
				time.Sleep(time.Minute) // The last search ends.
				if n := refused.Load(); n > 0 {
					t.Errorf("%d of 600 were refused", n)
				}
			})
		})
	}
}

// All homes hang. A request must hear so while its caller still listens, and not wait for its whole time.
func TestSearchTimesOutWhenHomesHang(t *testing.T) {
	Convey("A request is refused after the bound", t, func() {
		metrics := telemetry.NewMetrics("h", "a")
		synctest.Test(t, func(t *testing.T) {
			r := delayedRateLimiter(metrics, 0)
			r.requestTokens = func(context.Context, rate.Ask) time.Duration {
				time.Sleep(leaseTimeout)
				return rate.UnsettledWait
			}
			begun := time.Now()
			if _, _, ok := r.Spend(t.Context(), "dealer"); ok {
				t.Error("it got a token")
			}
			if waited := time.Since(begun); waited < searchTimeout || waited > searchTimeout+leaseTimeout+unsettledDelay {
				t.Errorf("it waited %s", waited)
			}
		})
	})
}
