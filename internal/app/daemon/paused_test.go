package daemon

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

const (
	// processPause is how long the daemons of these tests are paused, longer than the pause that a daemon notices.
	processPause = 4 * time.Second
	// noticeDelay is how long after the pause the control goroutine notices it.
	noticeDelay = 10 * time.Millisecond
)

// pausableDaemon is an admissionDaemon that can also dispatch: it is the only host of the service, and nothing listens on its
// upstream's address, so that a request that would have been run is refused as noUpstream.
func pausableDaemon(metrics *telemetry.Metrics, now time.Time) *Daemon {
	d := admissionDaemon(metrics, false, now)
	d.settings.Service, d.settings.Zone = "lookup", "a"
	d.settings.Slots, d.settings.QueueTime = 1, time.Minute
	d.log, d.placer, d.runNeeds = telemetry.NewLog(io.Discard, d.settings.LogLevel), placing.New("a"), budget.NewNeeds()
	d.executor = newExecutor(d.settings, upstream.New(netip.MustParseAddrPort("127.0.0.1:1")))
	d.members.Store(&member.View{})
	setKeys(d, 1, "dealer-key")
	d.servingState.Store(&servingState{Standing: spread.Serving, checkedAt: now})
	return d
}

var dealerPlans = &lists.Plans{Organisations: []lists.Organisation{{Organisation: "dealer", Plan: "full", Rate: 0.001, Burst: 1}}}

// setKeys puts a list with this key of the organisation dealer into force.
func setKeys(d *Daemon, version uint64, key string) {
	hash := lists.HashKey(key)
	keys := &lists.Keys{Keys: []lists.Key{{ID: "k", Organisation: "dealer", SHA256: hex.EncodeToString(hash[:])}}}
	uses := &lists.Uses{
		Operations: []lists.Operation{{Operation: "lookup.read", Service: "lookup", Method: "GET", Path: "/", Priority: "interactive"}},
		Plans:      []lists.Grant{{Plan: "full", Operations: []string{"lookup.read"}}},
	}
	hosts := &lists.Hosts{Hosts: []lists.Host{{Host: "h", Service: "lookup", Zone: "a"}}}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, version, 1}, dealerPlans, uses, keys, hosts))
}

// pauseOutcome is what peers tell a daemon when it resumes after a pause.
type pauseOutcome struct {
	name string
	// confirmed is how long after the pause the lists are confirmed, and key the only one that is valid from then on.
	confirmed time.Duration
	key       string
	reason    call.Reason
	after     time.Duration
}

var pauseOutcomes = []pauseOutcome{
	{"the key was withdrawn", 28 * time.Millisecond, "other-key", call.UnknownKey, 30 * time.Millisecond},
	{"the key is still valid", 28 * time.Millisecond, "dealer-key", call.NoUpstream, 30 * time.Millisecond},
	{"nobody confirms the lists", time.Hour, "dealer-key", call.NotReady, noticeDelay + maxConfirmWait},
}

// resume confirms the daemon's lists as the outcome says, from the end of a pause that begins now.
func (p pauseOutcome) resume(d *Daemon) {
	time.AfterFunc(processPause+noticeDelay, func() {
		d.servingState.Store(&servingState{Standing: spread.Waking, checkedAt: time.Now(), since: time.Now()})
	})
	time.AfterFunc(processPause+p.confirmed, func() {
		setKeys(d, 2, p.key)
		d.servingState.Store(&servingState{Standing: spread.Serving, checkedAt: time.Now()})
	})
}

func readRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/lookup/", nil)
	r.Header.Set(headerAuthorization, bearer+"dealer-key")
	r.Header.Set(headerTimeout, "20000")
	return r
}

// TestPauseOfARequest guards against the acceptance of a withdrawn key by a request that was on its way when the process was
// paused. Its goroutine goes on before the control goroutine has noticed the pause, with the lists and the times from before it.
func TestPauseOfARequest(t *testing.T) {
	requests := []struct {
		name string
		// run sends the request; the pause begins and ends within it.
		run func(d *Daemon) call.Answer
	}{
		{"after its arrival", func(d *Daemon) call.Answer {
			arrived := time.Now()
			time.Sleep(processPause)
			lendToken(d.rateLimiter.borrower, rate.Member{Host: "h"}, dealerPlans, time.Now())
			a, refusal, ok := d.admit(readRequest(), nil, arrived)
			if !ok {
				return refusal
			}
			return d.dispatch(context.Background(), a)
		}},
		{"after its admission", func(d *Daemon) call.Answer {
			a, refusal, ok := d.admit(readRequest(), nil, time.Now())
			if !ok {
				return refusal
			}
			time.Sleep(processPause)
			return d.dispatch(context.Background(), a)
		}},
		{"in the queue of its host", func(d *Daemon) call.Answer {
			running := &admission.Ticket{Organisation: "other", Operation: "op", Deadline: time.Now().Add(time.Minute)}
			d.executor.gate.Arrive(time.Now(), running)
			a, refusal, ok := d.admit(readRequest(), nil, time.Now())
			if !ok {
				return refusal
			}
			time.AfterFunc(processPause, func() {
				d.executor.gate.Settle(time.Now(), running, admission.Result{Own: time.Millisecond})
			})
			return d.dispatch(context.Background(), a)
		}},
	}
	for _, request := range requests {
		for _, outcome := range pauseOutcomes {
			Convey("A request whose process is paused "+request.name+", and "+outcome.name, t, func() {
				metrics := telemetry.NewMetrics("h", "a")
				var answer call.Answer
				var after time.Duration
				synctest.Test(t, func(*testing.T) {
					d := pausableDaemon(metrics, time.Now())
					started := time.Now()
					outcome.resume(d)
					answer = request.run(d)
					after = time.Since(started)
				})
				So(answer.Outcome, ShouldEqual, call.NotRun)
				So(answer.Reason, ShouldEqual, outcome.reason)
				So(after, ShouldAlmostEqual, processPause+outcome.after, confirmPollInterval)
			})
		}
	}
}
