package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// signedHeads are benchHeads whose refusals carry the request id.
type signedHeads struct{ benchHeads }

func (signedHeads) Refuse(h http.Header, requestID string, _ time.Duration) {
	h.Set("Request-Id", requestID)
}

const instanceBody = "the instance's whole body"

// signedResult returns the complete, signed response of an instance to the request with the id.
func signedResult(status int, id string) runResult {
	return runResult{
		Outcome: call.Whole, Status: status, Body: []byte(instanceBody), Arrived: true,
		Header: headerFields{"Request-Id": {id}, "Signature": {"signed"}},
	}
}

// farResult is a result of the daemon beside the instance, and what becomes of a request whose caller still waits.
type farResult struct {
	name   string
	result func(id string) runResult
	// final means that the caller gets this response unchanged.
	final bool
	// ran means that the request may have run, so that only an idempotent one is tried at another instance.
	ran bool
}

func fixedResult(res runResult) func(string) runResult { return func(string) runResult { return res } }

func wholeResult(status int) func(string) runResult {
	return func(id string) runResult { return signedResult(status, id) }
}

func refusalWith(reason call.Reason, status int) runResult {
	return runResult{Outcome: call.NotRun, Reason: reason, Status: status}
}

var farResults = []farResult{
	{name: "signed success", result: wholeResult(200), final: true},
	{name: "signed success without a text", result: wholeResult(299), final: true},
	{name: "signed 404", result: wholeResult(404), final: true},
	{name: "signed 419", result: wholeResult(419), final: true},
	{name: "signed 499", result: wholeResult(499), final: true},
	{name: "signed 520", result: wholeResult(520), final: true},
	{name: "cancelled, not run", result: fixedResult(refusalWith(call.Cancelled, 499))},
	{name: "overloaded, with the status of a success", result: fixedResult(refusalWith(call.Overloaded, 200))},
	{name: "cancelled, perhaps run", ran: true, result: fixedResult(runResult{Outcome: call.Unknown, Reason: call.Cancelled, Status: 499, Arrived: true})},
	{name: "lost, with the status of a success", ran: true, result: fixedResult(runResult{Outcome: call.Unknown, Reason: call.AnswerLost, Status: 200, Arrived: true})},
	{name: "zero value", ran: true, result: fixedResult(runResult{})},
	{name: "outcome that does not exist", ran: true, result: fixedResult(runResult{Outcome: 9, Status: 200, Arrived: true})},
	{name: "success without a signature", ran: true, result: func(id string) runResult {
		res := signedResult(200, id)
		delete(res.Header, "Signature")
		return res
	}},
	{name: "success of another request", ran: true, result: func(string) runResult { return signedResult(200, "of another request") }},
	{name: "failure of another request", ran: true, result: func(string) runResult { return signedResult(404, "of another request") }},
	{name: "field whose name has a blank", ran: true, result: func(id string) runResult {
		res := signedResult(200, id)
		res.Header["Content-Length "] = []string{"1"}
		return res
	}},
	{name: "signed status 0", ran: true, result: wholeResult(0)},
	{name: "signed status 99", ran: true, result: wholeResult(99)},
	{name: "signed status 1000", ran: true, result: wholeResult(1000)},
}

// farCase sends one request over a route and a service of its own, so that no case affects another.
type farCase struct {
	farResult
	repeat routing.Repeat
	// everywhere means that all instances give the result, and not only the first.
	everywhere bool
	// single means that the service has one instance only.
	single bool
}

func (c farCase) String() string {
	return fmt.Sprintf("%s, %s, everywhere: %v", c.name, c.repeat, c.everywhere)
}

func farCases() []farCase {
	var cases []farCase
	for _, far := range farResults {
		for _, repeat := range []routing.Repeat{routing.Idempotent, routing.Once} {
			cases = append(cases, farCase{farResult: far, repeat: repeat})
			if !far.final {
				cases = append(cases, farCase{farResult: far, repeat: repeat, everywhere: true})
			}
		}
	}
	return cases
}

// farFleet is a caller's daemon and two others, which return results without an instance.
type farFleet struct {
	cases  []farCase
	caller *Router
	others []*Router

	mu sync.Mutex
	// attempts has the instances that each route's request was sent to.
	attempts map[string][]string
}

func startFarFleet(t *testing.T, cases []farCase) *farFleet {
	f := &farFleet{cases: cases, attempts: map[string][]string{}}
	f.start(t, 2, f.run)
	return f
}

// start starts the caller's daemon and others; run is how the others run a request.
func (f *farFleet) start(t *testing.T, others int, run func(context.Context, netip.AddrPort, runRequest) runResult) {
	hosts := make([]netip.Addr, 1+others)
	for i := range hosts {
		hosts[i] = loopback.Address().Addr()
	}
	f.caller = f.daemon(hosts[0], f.changes(hosts))
	for _, host := range hosts[1:] {
		other := f.daemon(host, f.changes(hosts))
		peer.Handle(other.peers, peer.KindRun, run)
		f.others = append(f.others, other)
	}
	for _, r := range append(f.others, f.caller) {
		if err := r.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.stop)
	}
	for f.caller.view.Load().Table == nil {
		time.Sleep(time.Millisecond)
	}
}

func (f *farFleet) daemon(host netip.Addr, changes catalog.Changes) *Router {
	log := telemetry.NewLog(io.Discard, logrus.InfoLevel)
	return New(Settings{
		Host: host.String(), Zone: "z", Service: "front", Callers: netip.AddrPortFrom(host, 1001), Peers: netip.AddrPortFrom(host, 1002),
		Health: netip.AddrPortFrom(host, 1003), Instance: netip.AddrPortFrom(host, 1004),
		Repeats: repeats.Limits{Ratio: 1, Slack: 1000, Window: 10 * time.Second}, LeaveTime: time.Millisecond,
	}, fixedSource{changes}, signedHeads{}, log)
}

// changes publishes a route and a service for each case, with an instance on each host but the caller's.
func (f *farFleet) changes(hosts []netip.Addr) catalog.Changes {
	config := &routing.Config{Version: 1, Services: map[string]routing.Service{"front": {}}}
	entries := []catalog.Entry{{Key: "config", Revision: 1, Config: config}}
	for i, c := range f.cases {
		name := strconv.Itoa(i)
		config.Services[name] = routing.Service{}
		config.Routes = append(config.Routes, routing.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Repeat: c.repeat, Parts: []routing.Part{{Service: name, Weight: 1}},
			Attempts: 3, Public: true,
		})
		for at, host := range hosts[1:] {
			if c.single && at > 0 {
				break
			}
			id := fmt.Sprintf("%s at %d", name, at)
			inst := &routing.Instance{ID: id, Service: name, Zone: "z", Address: netip.AddrPortFrom(host, uint16(2000+i)), Slots: 50}
			entries = append(entries, catalog.Entry{Key: id, Revision: 2, Instance: inst})
		}
	}
	front := &routing.Instance{ID: "front", Service: "front", Zone: "z", Address: netip.AddrPortFrom(hosts[0], 1004), Slots: 50}
	return catalog.Changes{Revision: 2, Whole: true, Entries: append(entries, catalog.Entry{Key: "front", Revision: 2, Instance: front})}
}

// run returns the case's result to the first attempt or to all, otherwise a signed success.
func (f *farFleet) run(_ context.Context, _ netip.AddrPort, req runRequest) runResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[req.Route] = append(f.attempts[req.Route], req.Instance.ID)
	i, _ := strconv.Atoi(req.Route)
	if c := f.cases[i]; c.everywhere || len(f.attempts[req.Route]) == 1 {
		return c.result(req.RequestID)
	}
	return signedResult(200, req.RequestID)
}

// tried returns the instances that the case's request was sent to.
func (f *farFleet) tried(i int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[strconv.Itoa(i)]
}

// callerResponse is what the caller of a case reads.
type callerResponse struct {
	status        int
	signed, ownID bool
	body          string
}

func (f *farFleet) request(i int) (callerResponse, error) {
	id := fmt.Sprintf("id of case %d", i)
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%d/", f.caller.settings.Callers, i), nil)
	req.Host, req.Close = "a.example", true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "20000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return callerResponse{res.StatusCode, res.Header.Get("Signature") != "", res.Header.Get("Request-Id") == id, string(body)}, err
}

// shouldBeHonestFailure asserts a failure of the daemon's own that says whether the request may have run.
func (got callerResponse) shouldBeHonestFailure(ran bool) {
	status, outcome := http.StatusServiceUnavailable, call.NotRun
	if ran {
		status, outcome = http.StatusBadGateway, call.Unknown
	}
	So(got.status, ShouldEqual, status)
	So(got.signed, ShouldBeFalse)
	So(got.body, ShouldStartWith, `{"outcome":"`+outcome.String()+`"`)
}

// TestCallerGetsOnlySignedSuccesses guards against a success that no instance signed for this request: another daemon's word was taken over.
func TestCallerGetsOnlySignedSuccesses(t *testing.T) {
	cases := farCases()
	f := startFarFleet(t, cases)
	for i, c := range cases {
		Convey("A caller that waits gets an instance's own response or an honest failure: "+c.String(), t, func() {
			got, err := f.request(i)
			So(err, ShouldBeNil)
			So(got.ownID, ShouldBeTrue)
			tried := f.tried(i)
			switch {
			case c.final:
				So(got, ShouldResemble, callerResponse{c.result("").Status, true, true, instanceBody})
				So(tried, ShouldHaveLength, 1)
			case c.ran && c.repeat != routing.Idempotent:
				got.shouldBeHonestFailure(c.ran)
				So(tried, ShouldHaveLength, 1)
			case c.everywhere:
				got.shouldBeHonestFailure(c.ran)
				So(tried, ShouldHaveLength, 2)
			default:
				So(got, ShouldResemble, callerResponse{200, true, true, instanceBody})
				So(tried, ShouldHaveLength, 2)
				So(tried[1], ShouldNotEqual, tried[0])
			}
		})
	}
}
