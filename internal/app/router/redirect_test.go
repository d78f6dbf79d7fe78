package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// slownessHeads are signedHeads that read the header Slowness.
type slownessHeads struct{ signedHeads }

func (slownessHeads) Answer(status int, h http.Header) InstanceHead {
	head := signedHeads{}.Answer(status, h)
	head.InstanceID = h.Get("Id")
	raw := h.Get("Slowness")
	if raw == "" {
		return head
	}
	slowness, err := strconv.ParseFloat(raw, 64)
	if err != nil {
		head.Load.Fault = raw
		return head
	}
	head.Load.Stated, head.Load.Slowness = true, slowness
	return head
}

func newSlownessExecutor(settings Settings) *executor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := newExecutor(settings, slownessHeads{}, newWarmUp(settings, slownessHeads{}, log, telemetry.NewMetrics("h", "z")), bounded.NewAccount(settings.memoryLimits()))
	e.configured = true
	return e
}

// TestStatedSlowness guards against a slowness that is kept for too long, taken from another instance or incarnation, or changed by nonsense.
func TestStatedSlowness(t *testing.T) {
	instance, successor := routing.Incarnation{ID: "i", Born: time.Unix(1, 0)}, routing.Incarnation{ID: "i", Born: time.Unix(2, 0)}
	stating := func(slowness string) http.Header { return http.Header{"Signature": {"s"}, "Slowness": {slowness}} }
	Convey("The newest statement of the incarnation counts", t, func() {
		for _, c := range []struct {
			name string
			tell func(s *statements)
			want float64
			slow bool
		}{
			{"none", func(s *statements) { s.observe(instance, "r", 200, http.Header{"Signature": {"s"}}) }, 0, false},
			{"normal speed", func(s *statements) { s.observe(instance, "r", 200, stating("1")) }, 1, false},
			{"slow", func(s *statements) { s.observe(instance, "r", 200, stating("2.5")) }, 2.5, true},
			{"at the threshold", func(s *statements) { s.observe(instance, "r", 200, stating("1.75")) }, 1.75, false},
			{"fast", func(s *statements) { s.observe(instance, "r", 200, stating("0.2")) }, 1, false},
			{"in a failure", func(s *statements) { s.observe(instance, "r", 500, stating("2.5")) }, 2.5, true},
			{"of another instance", func(s *statements) { s.observe(instance, "r", http.StatusMisdirectedRequest, stating("2.5")) }, 0, false},
			{"slow, then back", func(s *statements) {
				s.observe(instance, "r", 200, stating("2.5"))
				s.observe(instance, "r", 200, stating("1"))
			}, 1, false},
			{"slow, then nothing", func(s *statements) {
				s.observe(instance, "r", 200, stating("2.5"))
				s.observe(instance, "r", 200, http.Header{"Signature": {"s"}})
			}, 2.5, true},
			{"slow, then nonsense", func(s *statements) {
				s.observe(instance, "r", 200, stating("2.5"))
				s.observe(instance, "r", 200, stating("fast"))
			}, 2.5, true},
			{"of a predecessor", func(s *statements) {
				s.observe(instance, "r", 200, stating("2.5"))
				s.replaced(successor)
				s.replaced(instance)
			}, 0, false},
			{"of a successor", func(s *statements) { s.observe(successor, "r", 200, stating("2.5")) }, 0, false},
		} {
			Convey(c.name, func() {
				e := newSlownessExecutor(Settings{})
				defer e.stop()
				before := time.Now()
				c.tell(e.stated)
				So(e.stated.slownessOf(instance, before), ShouldEqual, c.want)
				So(e.stated.slow(instance, before), ShouldEqual, c.slow)
				So(e.stated.slow(instance, time.Now().Add(maxRedirectAge+time.Millisecond)), ShouldBeFalse)
				So(e.stated.slownessOf(instance, before.Add(time.Second)), ShouldBeLessThan, 1.2)
				So(e.stated.slownessOf(instance, time.Now().Add(slownessTTL+time.Millisecond)), ShouldEqual, 0)
			})
		}
	})
	Convey("A health check states it as well, unless another instance answers it", t, func() {
		e := newSlownessExecutor(Settings{})
		defer e.stop()
		e.apply(serving(routing.Instance{ID: "i", Slots: 20, Born: instance.Born}))
		e.warmUp.Checked(time.Now(), 200, http.Header{"Id": {"j"}, "Slowness": {"3"}})
		So(e.stated.slow(instance, time.Now()), ShouldBeFalse)
		e.warmUp.Checked(time.Now(), 200, http.Header{"Id": {"i"}, "Slowness": {"3"}})
		So(e.stated.slow(instance, time.Now()), ShouldBeTrue)
	})
	Convey("Faults are logged once each, and no more than a few of them", t, func() {
		e := newSlownessExecutor(Settings{})
		defer e.stop()
		for i := range 3 * maxLoadFaults {
			e.stated.observe(instance, "r", 200, stating("x"+strconv.Itoa(i)))
			e.stated.observe(instance, "r", 200, stating("x"+strconv.Itoa(i)))
		}
		So(e.stated.loadFaults, ShouldEqual, maxLoadFaults)
		So(len(e.stated.logged), ShouldEqual, maxLoadFaults)
	})
}

// TestRedirectOnArrival guards against requests that wait or run at an instance that is slow just then, and against a redirect that nobody can
// follow.
func TestRedirectOnArrival(t *testing.T) {
	var received atomic.Int64
	var slowness atomic.Value
	slowness.Store("2.5")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "signed")
		w.Header().Set("Slowness", slowness.Load().(string))
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	send := func(e *executor, redirectable bool) runResult {
		return e.run(t.Context(), &runRequest{
			RequestID: "1", Method: "GET", Target: "/", HTTPHost: "h", Header: headerFields{"Request-Id": {"1"}}, Remaining: 5 * time.Second,
			Redirectable: redirectable,
		})
	}
	Convey("At an instance that has just stated that it is slow", t, func() {
		received.Store(0)
		e := newSlownessExecutor(Settings{Instance: address})
		defer e.instance.Close()
		So(send(e, true).Outcome, ShouldEqual, call.Whole)
		Convey("a request with another instance is refused as not run, and leaves no trace in what is reported", func() {
			res := send(e, true)
			So(res.redirects(), ShouldBeTrue)
			So(res.Arrived, ShouldBeFalse)
			So(res.Reason, ShouldEqual, call.InstanceSlow)
			So(res.Load.Slowness, ShouldBeBetween, 1.2, 2.5)
			So(sendResult(res, nil), ShouldEqual, choice.Withdrawn)
			So(received.Load(), ShouldEqual, 1)
			_, work := e.report(false, time.Now())
			So(work.Delivered, ShouldEqual, 1)
			So(work.Retryable, ShouldEqual, 0)
		})
		Convey("one that was redirected before, or has no other instance, is run", func() {
			So(send(e, false).Outcome, ShouldEqual, call.Whole)
			So(received.Load(), ShouldEqual, 2)
		})
		Convey("all are run once the statement is old", func() {
			time.Sleep(maxRedirectAge + 10*time.Millisecond)
			So(send(e, true).Outcome, ShouldEqual, call.Whole)
		})
		Convey("a missing instance is named before its slowness", func() {
			e.warmUp.down.Store(true)
			So(send(e, true).Reason, ShouldEqual, call.NoUpstream)
		})
	})
	Convey("Without the mechanism, all are run", t, func() {
		e := newSlownessExecutor(Settings{Instance: address, Without: mechanism.SetOf(mechanism.InstanceSpeed)})
		defer e.instance.Close()
		So(send(e, true).Outcome, ShouldEqual, call.Whole)
		So(send(e, true).Outcome, ShouldEqual, call.Whole)
	})
}

// redirectingFleet is a farFleet whose instances redirect, and the requests that they were sent by route.
type redirectingFleet struct {
	farFleet
	requests map[string][]runRequest
}

// redirectCase is a service of three instances; answers has the reasons for which requests are refused in order, None for a success.
type redirectCase struct {
	name   string
	single bool
	// silent means that the instances don't state their slowness.
	silent  bool
	answers []call.Reason
	// redirectable is what the attempts say, and same that the last one goes to the first instance again.
	redirectable []bool
	same         bool
	status       int
}

// run refuses or serves the request by the answers of its route.
func (f *redirectingFleet) run(cases []redirectCase) func(context.Context, netip.AddrPort, runRequest) runResult {
	return func(_ context.Context, _ netip.AddrPort, req runRequest) runResult {
		f.mu.Lock()
		defer f.mu.Unlock()
		i, _ := strconv.Atoi(req.Route)
		attempt := len(f.requests[req.Route])
		f.requests[req.Route] = append(f.requests[req.Route], req)
		reason := cases[i].answers[min(attempt, len(cases[i].answers)-1)]
		if reason == call.None {
			return signedResult(200, req.RequestID)
		}
		return refusedResult(call.Refuse(reason, time.Millisecond), call.Load{Limit: 10})
	}
}

// TestRedirectAtIngress guards against requests that are redirected more than once, or given up though an instance would have run them.
func TestRedirectAtIngress(t *testing.T) {
	const slow = call.InstanceSlow
	cases := []redirectCase{
		{"redirected, then served", false, false, []call.Reason{slow, call.None}, []bool{true, false}, false, 200},
		{"redirected, refused by the others, then served", false, false, []call.Reason{slow, call.Overloaded, call.Overloaded, call.None}, []bool{true, false, false, false}, true, 200},
		{"redirected although it was before", false, false, []call.Reason{slow, slow, call.None}, []bool{true, false, false}, false, 200},
		{"redirected at each attempt", false, false, []call.Reason{slow}, []bool{true, false, false, false}, true, 503},
		{"the only instance", true, false, []call.Reason{call.None}, []bool{false}, false, 200},
		{"redirected by the only instance although it must not", true, false, []call.Reason{slow}, []bool{false}, false, 503},
		{"of a service whose instances don't state their slowness", false, true, []call.Reason{call.None}, []bool{false}, false, 200},
	}
	f := &redirectingFleet{farFleet: farFleet{attempts: map[string][]string{}}, requests: map[string][]runRequest{}}
	for _, c := range cases {
		f.cases = append(f.cases, farCase{repeat: routing.Once, single: c.single})
	}
	f.start(t, 3, f.run(cases))
	for i, c := range cases {
		if !c.silent {
			stating := routing.Instance{ID: "before", Service: strconv.Itoa(i)}
			f.caller.balancer.Record(stating, choice.Attempt{Result: choice.Withdrawn, Load: call.Load{Slowness: 1}}, time.Now())
		}
	}
	for i, c := range cases {
		Convey("A request that runs once: "+c.name, t, func() {
			got, err := f.request(i)
			So(err, ShouldBeNil)
			So(got.status, ShouldEqual, c.status)
			f.mu.Lock()
			defer f.mu.Unlock()
			sent := f.requests[strconv.Itoa(i)]
			So(sent, ShouldHaveLength, len(c.redirectable))
			for at := range sent {
				So(sent[at].Redirectable, ShouldEqual, c.redirectable[at])
				So(sent[at].Retry, ShouldBeFalse)
			}
			if len(sent) > 1 {
				So(sent[1].Instance.ID, ShouldNotEqual, sent[0].Instance.ID)
				So(sent[len(sent)-1].Instance.ID == sent[0].Instance.ID, ShouldEqual, c.same)
			}
		})
	}
}

// TestRedirectMessages guards against daemons of two versions that misread each other's messages during an update.
func TestRedirectMessages(t *testing.T) {
	Convey("Messages without a slowness or a redirect have no field for them", t, func() {
		for _, message := range []any{runRequest{}, runResult{}} {
			raw, err := msgpack.Marshal(message)
			So(err, ShouldBeNil)
			So(strings.Contains(string(raw), "slowness") || strings.Contains(string(raw), "redirectable"), ShouldBeFalse)
		}
	})
	Convey("Both fields arrive", t, func() {
		raw, err := msgpack.Marshal(runResult{Load: call.Load{Slowness: 2.5}})
		So(err, ShouldBeNil)
		var res runResult
		So(msgpack.Unmarshal(raw, &res), ShouldBeNil)
		So(res.Load.Slowness, ShouldEqual, 2.5)
		raw, err = msgpack.Marshal(runRequest{Redirectable: true})
		So(err, ShouldBeNil)
		var req runRequest
		So(msgpack.Unmarshal(raw, &req), ShouldBeNil)
		So(req.Redirectable, ShouldBeTrue)
	})
	Convey("The reasons of earlier versions keep their numbers", t, func() {
		So(fmt.Sprint(uint8(call.UpstreamLimited), uint8(call.InstanceSlow)), ShouldEqual, "22 23")
	})
}
