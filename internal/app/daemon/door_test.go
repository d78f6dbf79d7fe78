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

// doorDaemon takes callers of one organisation whose whole burst, one token, is in stock; its doors are shut if asked for.
func doorDaemon(metrics *telemetry.Metrics, shut bool, now time.Time) *Daemon {
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
		settings: s, owner: &owner{chains: newChains()}, metrics: metrics,
		doors: pressure.New(pressure.WithRand(func() float64 { return 0 })),
	}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, plans, uses, keys, &lists.Hosts{}))
	d.standing.Store(&standing{Standing: spread.Serving, looked: now.Add(time.Second)})
	limits := rate.DefaultLimits()
	begun := now.Add(-24 * time.Hour)
	home, borrower := rate.NewHome(self, 1, limits, begun), rate.NewBorrower("h", 1, limits)
	home.SetPlans(plans.Organisations, begun)
	home.SetList(1, []rate.Member{self}, begun)
	borrower.SetPlans(plans.Organisations)
	borrower.SetList(1, []rate.Member{self})
	ask, _ := borrower.Urgent("dealer", self, 1, rate.Waiting, now)
	borrower.Hear(self, home.AnswerLease(ask.Message, now), now, now)
	d.rates = &rates{daemon: d, borrower: borrower, seeks: newSeeks()}
	for range 20 {
		if shut {
			d.doors.Observe(now, "dealer", "lookup.read", 1, time.Second)
			d.doors.Admit(now, "dealer", "lookup.read")
		}
	}
	return d
}

// A service is overloaded and the door refuses a caller who is inside its rate. Had the
// refusal cost its token, the caller would come back after the trouble to be refused for its rate.
func TestRefusalAtTheDoorCostsNoToken(t *testing.T) {
	cases := []struct {
		name   string
		shut   bool
		reason call.Reason
		left   int
	}{
		{"an open door", false, call.None, 0},
		{"a door that is shut", true, call.Overloaded, 1},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			metrics := telemetry.NewMetrics("h", "a")
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				d := doorDaemon(metrics, c.shut, now)
				r, _ := http.NewRequest(http.MethodGet, "http://daemon/lookup/", nil)
				r.Header.Set(headerAuthorization, bearer+"dealer-key")
				_, refusal, _ := d.admit(r, nil, now)
				if left := d.rates.borrower.Stock("dealer", time.Now()); refusal.Reason != c.reason || left != c.left {
					t.Errorf("%v with %d left, not %v with %d", refusal.Reason, left, c.reason, c.left)
				}
			})
		})
	}
}

func TestCallersOfADaemonThatWakes(t *testing.T) {
	// A daemon's process stands still and wakes with callers' requests in its
	// buffers. Until peers have confirmed its lists it may take none, but the
	// callers were inside their rate and can wait a moment.
	long, short := settings.Default().DefaultTimeout, 100*time.Millisecond
	cases := []struct {
		name      string
		standing  spread.Standing
		since     time.Duration
		confirmed time.Duration
		timeout   time.Duration
		takes     bool
		after     time.Duration
	}{
		{"confirmed in time", spread.Waking, 0, 28 * time.Millisecond, long, true, 30 * time.Millisecond},
		{"the control thread has not looked yet", spread.Serving, -time.Hour, 28 * time.Millisecond, long, true, 30 * time.Millisecond},
		{"not confirmed", spread.Waking, 0, time.Hour, long, false, confirmWait},
		{"not confirmed in half of the caller's time", spread.Waking, 0, time.Hour, short, false, short / 2},
		{"unconfirmed for long", spread.Starting, -time.Minute, time.Hour, long, false, 0},
		{"cut off", spread.Isolated, 0, time.Hour, long, false, 0},
	}
	Convey("A request waits for the lists as long as that helps", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				d := doorDaemon(telemetry.NewMetrics("h", "a"), false, time.Now())
				var takes bool
				var after time.Duration
				synctest.Test(t, func(*testing.T) {
					begun := time.Now()
					d.standing.Store(&standing{Standing: c.standing, looked: begun.Add(-time.Hour), since: begun.Add(c.since)})
					time.AfterFunc(c.confirmed, func() {
						d.standing.Store(&standing{Standing: spread.Serving, looked: time.Now(), since: time.Now()})
					})
					r := httptest.NewRequest(http.MethodGet, "/lookup/", nil)
					r.Header.Set(headerTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
					takes = d.awaitTakes(r, begun)
					after = time.Since(begun)
				})
				So(takes, ShouldEqual, c.takes)
				So(after, ShouldEqual, c.after)
			})
		}
	})
}
