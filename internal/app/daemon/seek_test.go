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

// delayedRateLimiter borrows the tokens of one organisation from a home that has its whole burst and replies after the delay.
func delayedRateLimiter(metrics *telemetry.Metrics, delay time.Duration) *rateLimiter {
	now := time.Now()
	home := rate.Member{Host: "home"}
	organisations := []lists.Organisation{{Organisation: "dealer", Plan: "full", Rate: 1000, Burst: 1000}}
	limits := rate.DefaultLimits()
	homeStarted := now.Add(-24 * time.Hour)
	lender := rate.NewHome(home, 1, limits, homeStarted)
	lender.SetPlans(organisations, homeStarted)
	lender.SetList(1, []rate.Member{home}, homeStarted)
	borrower := rate.NewBorrower("h", 1, limits)
	borrower.SetPlans(organisations)
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

// Requests of an organisation far below its rate limit arrive without a pause, and each waits briefly for a token, so that one
// search for tokens goes on and on. If the search's time limit counted from its start, later requests would be refused as
// above the rate limit although the home granted tokens each time.
func TestSearchContinuesWhileHomesGrantTokens(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
	}{
		{"a home in the same region", time.Millisecond},
		{"a home in another region", 45 * time.Millisecond},
	}
	for _, c := range cases {
		Convey("With "+c.name+", no request below the rate limit is refused", t, func() {
			metrics := telemetry.NewMetrics("h", "a")
			synctest.Test(t, func(t *testing.T) {
				r := delayedRateLimiter(metrics, c.delay)
				var refused atomic.Int32
				var requests sync.WaitGroup
				for range 600 {
					requests.Go(func() {
						if _, _, ok := r.Spend(t.Context(), "dealer"); !ok {
							refused.Add(1)
						}
					})
					time.Sleep(5 * time.Millisecond)
				}
				requests.Wait()
				time.Sleep(time.Minute) // Lets the last search end.
				if n := refused.Load(); n > 0 {
					t.Errorf("%d of 600 requests were refused", n)
				}
			})
		})
	}
}

// The process is paused between a request's arrival and the question for its token, and the request is refused though homes have tokens.
func TestSearchContinuesAfterPause(t *testing.T) {
	const pause = 3 * time.Second
	cases := []struct {
		name           string
		before, during time.Duration
	}{
		{"before the first question", pause, 0},
		{"during the first question", 0, pause},
		{"before and during it", pause, pause},
	}
	for _, c := range cases {
		Convey("After a pause "+c.name+", a request below the rate limit gets a token", t, func() {
			metrics := telemetry.NewMetrics("h", "a")
			synctest.Test(t, func(t *testing.T) {
				r := delayedRateLimiter(metrics, time.Millisecond)
				requestTokens, during := r.requestTokens, c.during
				r.requestTokens = func(ctx context.Context, ask rate.Ask) time.Duration {
					if during == 0 {
						return requestTokens(ctx, ask)
					}
					time.Sleep(during)
					during = 0
					return rate.UnsettledWait
				}
				s := newTokenSearch(time.Now())
				r.searches.active["dealer"] = s
				served := make(chan bool)
				go func() {
					_, _, ok := r.Spend(t.Context(), "dealer")
					served <- ok
				}()
				time.Sleep(c.before)
				synctest.Wait()
				go r.runSearch("dealer", s)
				if !<-served {
					t.Error("the request was refused")
				}
				time.Sleep(time.Minute) // Lets the last search end.
			})
		})
	}
}

// All homes hang. A request must be refused early enough for its caller, instead of waiting until its deadline.
func TestSearchTimesOutWhenHomesHang(t *testing.T) {
	Convey("A request is refused after searchTimeout", t, func() {
		metrics := telemetry.NewMetrics("h", "a")
		synctest.Test(t, func(t *testing.T) {
			r := delayedRateLimiter(metrics, 0)
			r.requestTokens = func(context.Context, rate.Ask) time.Duration {
				time.Sleep(leaseTimeout)
				return rate.UnsettledWait
			}
			started := time.Now()
			if _, _, ok := r.Spend(t.Context(), "dealer"); ok {
				t.Error("the request got a token")
			}
			if waited := time.Since(started); waited < searchTimeout || waited > searchTimeout+leaseTimeout+unsettledDelay {
				t.Errorf("the request waited %s", waited)
			}
		})
	})
}
