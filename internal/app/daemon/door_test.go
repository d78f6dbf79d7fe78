package daemon

import (
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/pressure"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// admissionDaemon accepts callers of one organisation whose whole burst, one token, is cached. If throttled is set, it
// refuses their requests for overload.
func admissionDaemon(metrics *telemetry.Metrics, throttled bool, now time.Time) *Daemon {
	s := settings.Default()
	s.Host = "h"
	self := rate.Member{Host: "h"}
	plans := &lists.Plans{Organisations: []lists.Organisation{{Organisation: "dealer", Plan: "full", Rate: 0.001, Burst: 1}}}
	uses := &lists.Uses{
		Operations: []lists.Operation{{Operation: "lookup.read", Service: "lookup", Method: "GET", Path: "/", Priority: "interactive"}},
		Plans:      []lists.Grant{{Plan: "full", Operations: []string{"lookup.read"}}},
	}
	hash := lists.HashKey("dealer-key")
	keys := &lists.Keys{Keys: []lists.Key{{ID: "k", Organisation: "dealer", SHA256: hex.EncodeToString(hash[:])}}}
	d := &Daemon{
		settings: s, executor: &executor{runs: newActiveRuns()}, metrics: metrics,
		throttles: pressure.New(pressure.WithRand(func() float64 { return 0 })),
	}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, plans, uses, keys, &lists.Hosts{}))
	d.servingState.Store(&servingState{Standing: spread.Serving, checkedAt: now.Add(time.Second)})
	borrower := rate.NewBorrower("h", 1, rate.DefaultLimits())
	borrower.SetPlans(plans.Organisations)
	borrower.SetList(1, []rate.Member{self})
	lendToken(borrower, self, plans, now)
	d.rateLimiter = &rateLimiter{daemon: d, borrower: borrower, searches: newTokenSearches()}
	for range 20 {
		if throttled {
			d.throttles.Observe(now, "dealer", "lookup.read", 1, time.Second)
			d.throttles.Admit(now, "dealer", "lookup.read")
		}
	}
	return d
}

// lendToken lends one token of the organisation dealer to the borrower, from a home with a full bucket.
func lendToken(borrower *rate.Borrower, self rate.Member, plans *lists.Plans, now time.Time) {
	homeStarted := now.Add(-24 * time.Hour)
	home := rate.NewHome(self, 1, rate.DefaultLimits(), homeStarted)
	home.SetPlans(plans.Organisations, homeStarted)
	home.SetList(1, []rate.Member{self}, homeStarted)
	ask, _ := borrower.Urgent("dealer", self, 1, rate.Waiting, now)
	borrower.Hear(self, home.AnswerLease(ask.Message, now), now, now)
}

// A service is overloaded and the throttle refuses a caller that is within its rate limit. If the refusal cost a token,
// the caller's retry after the overload would be refused for exceeding the rate limit.
func TestOverloadRefusalCostsNoToken(t *testing.T) {
	cases := []struct {
		name      string
		throttled bool
		reason    call.Reason
		left      int
	}{
		{"not throttled", false, call.None, 0},
		{"throttled", true, call.Overloaded, 1},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			metrics := telemetry.NewMetrics("h", "a")
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				d := admissionDaemon(metrics, c.throttled, now)
				r, _ := http.NewRequest(http.MethodGet, "http://daemon/lookup/", nil)
				r.Header.Set(headerAuthorization, bearer+"dealer-key")
				_, refusal, _ := d.admit(r, nil, now)
				if left := d.rateLimiter.borrower.Stock("dealer", time.Now()); refusal.Reason != c.reason || left != c.left {
					t.Errorf("refused with %v and %d tokens left, want %v and %d", refusal.Reason, left, c.reason, c.left)
				}
			})
		})
	}
}

func TestRequestsWaitForConfirmedLists(t *testing.T) {
	// A daemon's process was paused and resumes with callers' requests in its buffers. It may not accept them until peers
	// have confirmed its lists, but the callers are within their rate limits and can wait for a moment.
	long, short := settings.Default().DefaultTimeout, 100*time.Millisecond
	const pause = 3 * time.Second
	cases := []struct {
		name      string
		standing  spread.Standing
		since     time.Duration
		confirmed time.Duration
		timeout   time.Duration
		accepts   bool
		after     time.Duration
	}{
		{"confirmed in time", spread.Waking, 0, 28 * time.Millisecond, long, true, 30 * time.Millisecond},
		{"the control goroutine has not noticed the pause yet", spread.Serving, -time.Hour, 28 * time.Millisecond, long, true, 30 * time.Millisecond},
		{"not confirmed", spread.Waking, 0, time.Hour, long, false, maxConfirmWait},
		{"not confirmed within half of the caller's timeout", spread.Waking, 0, time.Hour, short, false, short / 2},
		{"unconfirmed for long", spread.Starting, -time.Minute, time.Hour, long, false, 0},
		{"isolated", spread.Isolated, 0, time.Hour, long, false, 0},
		// A process is paused right after a request arrived, and refuses it at once when it resumes.
		{"confirmed after a pause since the arrival", spread.Waking, pause, pause + 28*time.Millisecond, long, true, pause + 30*time.Millisecond},
		{"not confirmed after a pause since the arrival", spread.Waking, pause, time.Hour, 20 * time.Second, false, pause + maxConfirmWait},
		{"not confirmed within half of what a pause has left", spread.Waking, pause, time.Hour, pause + time.Second, false, pause + time.Second/2},
		{"the pause has left nothing", spread.Waking, pause, time.Hour, pause, false, pause},
	}
	Convey("A request waits for the confirmation of the lists, but no longer than useful", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				d := admissionDaemon(telemetry.NewMetrics("h", "a"), false, time.Now())
				var accepts bool
				var after time.Duration
				synctest.Test(t, func(*testing.T) {
					arrived := time.Now()
					d.servingState.Store(&servingState{Standing: c.standing, checkedAt: arrived.Add(-time.Hour), since: arrived.Add(c.since)})
					time.AfterFunc(c.confirmed, func() {
						d.servingState.Store(&servingState{Standing: spread.Serving, checkedAt: time.Now(), since: time.Now()})
					})
					r := httptest.NewRequest(http.MethodGet, "/lookup/", nil)
					r.Header.Set(headerTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
					time.Sleep(c.since)
					accepts = d.waitToAccept(r, arrived)
					after = time.Since(arrived)
				})
				So(accepts, ShouldEqual, c.accepts)
				So(after, ShouldEqual, c.after)
			})
		}
	})
}
