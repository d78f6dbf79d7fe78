package daemon

import (
	"bytes"
	"context"
	"encoding/json"
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

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// startServer serves the handler as the callers' port does, until the test ends.
func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	address := loopback.Address()
	server := httpd.New(address, handler)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return address
}

// received is what a caller reads.
type received struct {
	status  int
	outcome string
	refusal Refusal
	body    string
}

// get sends the request with the number as a caller does.
func get(address netip.AddrPort, number int) (received, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s/%d", address, number))
	if err != nil {
		return received{}, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	read := received{status: res.StatusCode, outcome: res.Header.Get(upstream.HeaderOutcome), body: string(raw)}
	_ = json.Unmarshal(raw, &read.refusal)
	return read, err
}

// respondingDaemon returns a daemon that can write responses.
func respondingDaemon() *Daemon {
	d := singleHostDaemon(loopback.Address())
	d.metrics = telemetry.NewMetrics("h", "a")
	d.responses = newResponseMetrics(d.metrics.Scope)
	return d
}

// respondTo writes the response to a caller that has sent the request.
func respondTo(d *Daemon, w http.ResponseWriter, from *http.Request, r *call.Request, answer call.Answer) {
	d.respond(from.Context(), w, r, answer, time.Now())
}

// Guards against a response that nobody decided, or decided otherwise, which reaches its caller as a success.
func TestOnlyWholeResponsesAreSuccesses(t *testing.T) {
	lost := received{status: http.StatusBadGateway, outcome: call.Unknown.String()}
	whole := func(status int) call.Answer {
		return call.Answer{Outcome: call.Whole, Status: status, Header: call.Header{}, Body: []byte("body")}
	}
	cases := []struct {
		name   string
		answer call.Answer
		want   received
	}{
		{"nothing decided", call.Answer{}, lost},
		{"whole without a status", whole(0), lost},
		{"whole with a status below all", whole(99), lost},
		{"whole with an interim status", whole(http.StatusContinue), lost},
		{"whole with another protocol", whole(http.StatusSwitchingProtocols), lost},
		{"whole with a status above all", whole(1000), lost},
		{"whole with a negative status", whole(-200), lost},
		{"whole with a reason to fail", call.Answer{Outcome: call.Whole, Reason: call.AnswerLost, Status: http.StatusOK}, lost},
		{"not run without a status", call.Answer{Outcome: call.NotRun, Reason: call.Overloaded}, lost},
		{"not run with a success's status", call.Answer{Outcome: call.NotRun, Reason: call.Overloaded, Status: http.StatusOK}, lost},
		{"unknown with a success's status", call.Answer{Outcome: call.Unknown, Reason: call.AnswerLost, Status: http.StatusOK}, lost},
		{"unknown with a redirection's status", call.Answer{Outcome: call.Unknown, Reason: call.AnswerLost, Status: http.StatusFound}, lost},
		{"not run with a status without a name", call.Answer{Outcome: call.NotRun, Reason: call.Overloaded, Status: 599}, lost},
		{"an outcome that doesn't exist", call.Answer{Outcome: 200, Status: http.StatusOK, Body: []byte("body")}, lost},
		{"cancelled while the caller waits", call.UnknownOutcome(call.Cancelled), lost},
		{"cancelled before it ran while the caller waits", call.Refuse(call.Cancelled, 0), lost},
		{"a whole success", whole(http.StatusCreated), received{status: http.StatusCreated, outcome: call.Whole.String()}},
		{"a whole failure", whole(http.StatusInternalServerError), received{status: http.StatusInternalServerError, outcome: call.Whole.String()}},
		{"a refusal", call.Refuse(call.Overloaded, 0), received{status: http.StatusServiceUnavailable, outcome: call.NotRun.String()}},
		{"a failure", call.UnknownOutcome(call.TimedOut), received{status: http.StatusGatewayTimeout, outcome: call.Unknown.String()}},
	}
	d := respondingDaemon()
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		respondTo(d, w, r, &call.Request{ID: "r1"}, cases[number].answer)
	})
	for number, c := range cases {
		Convey(c.name, t, func() {
			read, err := get(address, number)
			So(err, ShouldBeNil)
			So(read.status, ShouldEqual, c.want.status)
			So(read.outcome, ShouldEqual, c.want.outcome)
			if read.outcome != call.Whole.String() {
				So(read.refusal.Outcome, ShouldEqual, c.want.outcome)
			}
		})
	}
}

// TestReplacedResponsesAreLogged guards against a response that differs from what was decided and shows nowhere.
func TestReplacedResponsesAreLogged(t *testing.T) {
	cancelled := call.UnknownOutcome(call.Cancelled)
	for _, c := range []struct {
		name       string
		answer     call.Answer
		callerLeft bool
		want       string
	}{
		{"a decided refusal", call.Refuse(call.Overloaded, 0), false, ""},
		{"nothing decided", call.Answer{}, false, "response replaced r1 0 502"},
		{"cancelled while the caller waits", cancelled, false, "response replaced r1 502 502"},
		{"cancelled by the caller", cancelled, true, ""},
	} {
		Convey(c.name, t, func() {
			var out bytes.Buffer
			d := respondingDaemon()
			d.log = telemetry.NewLog(&out, d.settings.LogLevel)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.callerLeft {
				cancel()
			}
			d.respond(ctx, httptest.NewRecorder(), &call.Request{ID: "r1"}, c.answer, time.Now())
			var line struct {
				Msg, RequestID  string
				Status, Written int
			}
			if c.want == "" {
				So(out.String(), ShouldBeEmpty)
				return
			}
			So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
			So(fmt.Sprintf("%s %s %d %d", line.Msg, line.RequestID, line.Status, line.Written), ShouldEqual, c.want)
		})
	}
}

// TestHeadStatesNoWrongLength guards against a response to HEAD that says that the resource is empty.
func TestHeadStatesNoWrongLength(t *testing.T) {
	Convey("The length of a body that isn't there isn't stated as 0", t, func() {
		w := httptest.NewRecorder()
		header := http.Header{"Content-Length": {"7"}}
		writeAnswer(w, &call.Request{ID: "1", Method: http.MethodHead}, call.Answer{Outcome: call.Whole, Status: 200, Header: call.Header(header)})
		So(w.Header().Get("Content-Length"), ShouldNotEqual, "0")
	})
}

// TestLengthOfNoBody guards against the length 0 where there is a resource, and against none where the body is empty, as a caller reads them.
func TestLengthOfNoBody(t *testing.T) {
	cases := []struct {
		name, method, body string
		status             int
		want               string
	}{
		{"HEAD", http.MethodHead, "", http.StatusOK, ""},
		{"not modified", http.MethodGet, "", http.StatusNotModified, ""},
		{"no content", http.MethodGet, "", http.StatusNoContent, ""},
		{"an empty body", http.MethodGet, "", http.StatusOK, "0"},
		{"a body", http.MethodGet, "body", http.StatusOK, "4"},
	}
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		c := cases[number]
		writeAnswer(w, &call.Request{ID: "1", Method: c.method}, call.Answer{Outcome: call.Whole, Status: c.status, Body: []byte(c.body)})
	})
	for number, c := range cases {
		Convey(c.name, t, func() {
			req, err := http.NewRequestWithContext(t.Context(), c.method, fmt.Sprintf("http://%s/%d", address, number), nil)
			So(err, ShouldBeNil)
			req.Close = true
			res, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			defer func() { _ = res.Body.Close() }()
			raw, err := io.ReadAll(res.Body)
			So(err, ShouldBeNil)
			So(string(raw), ShouldEqual, c.body)
			So(res.Header.Get("Content-Length"), ShouldEqual, c.want)
		})
	}
}

// forwardingDaemon returns a daemon whose service runs on two other hosts, whose daemons reply as the function says.
func forwardingDaemon(t *testing.T, reply func(req runRequest) runResult) *Daemon {
	d := respondingDaemon()
	d.peers = peer.New(loopback.Address())
	d.control = &control{failures: make(chan hostFailure, maxPendingFailures)}
	d.dedup = newDeduplicator(d)
	respond := func(_ context.Context, _ netip.AddrPort, req runRequest) runResult { return reply(req) }
	hosts, nodes := &lists.Hosts{}, []*peer.Node{d.peers}
	for _, host := range []string{"away-1", "away-2"} {
		address := loopback.Address()
		away := peer.New(address)
		peer.Handle(away, peer.KindCall, respond)
		peer.Handle(away, peer.KindRunOnce, respond)
		nodes = append(nodes, away)
		hosts.Hosts = append(hosts.Hosts, lists.Host{Host: host, Service: "lookup", Zone: "a", Peer: address})
	}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, hosts))
	for _, node := range nodes {
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Stop)
	}
	return d
}

// route dispatches the request of a caller and writes the response.
func route(d *Daemon, w http.ResponseWriter, r *http.Request, key string, idempotent bool) {
	a := admittedRequest{account: budget.New(8), request: call.Request{
		ID: "r1", Organisation: "dealer", Operation: "lookup.book", Service: "lookup", Method: http.MethodPost, Path: r.URL.Path,
		IdempotencyKey: key, Idempotent: idempotent, Budget: 8, Deadline: time.Now().Add(5 * time.Second),
	}}
	respondTo(d, w, r, &a.request, d.dedup.route(r.Context(), a))
}

// Guards against a reply of another daemon that isn't a decision on the request, or that gives it up while its caller waits.
func TestRepliesOfOtherDaemons(t *testing.T) {
	lost := received{status: http.StatusBadGateway, outcome: call.Unknown.String()}
	noUpstream := received{status: http.StatusServiceUnavailable, outcome: call.NotRun.String()}
	served := received{status: http.StatusOK, outcome: call.Whole.String()}
	whole := func(status int) runResult {
		return runResult{Outcome: call.Whole, Status: status, Body: []byte("body"), BudgetLeft: 7}
	}
	misnamed := whole(http.StatusOK)
	misnamed.Header = http.Header{"Content-Length ": {"1"}}
	withBudget := func(a call.Answer, left int) runResult {
		a.BudgetLeft = left
		return newRunResult(a)
	}
	cancelledRun := withBudget(call.UnknownOutcome(call.Cancelled), 7)
	cancelledBefore := withBudget(call.Refuse(call.Cancelled, 0), 8)
	cancelledEarlier := runResult{Outcome: call.NotRun, Reason: call.Cancelled, Status: 499, BudgetLeft: 8}
	cases := []struct {
		name string
		// replies are those to the attempts of one request, in turn; the last one is repeated.
		replies    []runResult
		key        string
		idempotent bool
		want       received
	}{
		{"empty", []runResult{{}}, "", false, lost},
		{"empty, with a key", []runResult{{}}, "k", false, lost},
		{"status 0", []runResult{whole(0)}, "", false, lost},
		{"status 99", []runResult{whole(99)}, "", false, lost},
		{"status 1000", []runResult{whole(1000)}, "", false, lost},
		{"a field whose name has a blank", []runResult{misnamed}, "", false, lost},
		{"status 1000, with a key", []runResult{whole(1000)}, "k", false, lost},
		{"not run, status 200", []runResult{{Outcome: call.NotRun, Reason: call.Overloaded, Status: http.StatusOK}}, "", false, lost},
		{"unknown, status 0", []runResult{{Outcome: call.Unknown, Reason: call.AnswerLost}}, "", false, lost},
		{"cancelled while it ran", []runResult{cancelledRun}, "", false, lost},
		{"cancelled while it ran, with a key", []runResult{cancelledRun}, "k", false, lost},
		{"cancelled before it ran", []runResult{cancelledBefore}, "", false, noUpstream},
		{"cancelled before it ran, with a key", []runResult{cancelledBefore}, "k", false, noUpstream},
		{"whole", []runResult{whole(http.StatusOK)}, "", false, served},
		{"whole, with a key", []runResult{whole(http.StatusOK)}, "k", false, served},
		{"cancelled while it ran, then served", []runResult{cancelledRun, whole(http.StatusOK)}, "", true, served},
		{"cancelled before it ran, then served", []runResult{cancelledBefore, whole(http.StatusOK)}, "", false, served},
		{"cancelled before it ran by an earlier version, then served", []runResult{cancelledEarlier, whole(http.StatusOK)}, "", false, served},
		{"status 0, not to be repeated", []runResult{whole(0), whole(http.StatusOK)}, "", false, lost},
	}
	attempts := make([]atomic.Int64, len(cases))
	d := forwardingDaemon(t, func(req runRequest) runResult {
		number, _ := strconv.Atoi(strings.TrimPrefix(req.Path, "/"))
		replies := cases[number].replies
		return replies[min(int(attempts[number].Add(1)), len(replies))-1]
	})
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		route(d, w, r, cases[number].key, cases[number].idempotent)
	})
	for number, c := range cases {
		Convey(c.name, t, func() {
			read, err := get(address, number)
			So(err, ShouldBeNil)
			So(read.status, ShouldEqual, c.want.status)
			So(read.outcome, ShouldEqual, c.want.outcome)
			So(read.refusal.Reason, ShouldNotEqual, call.Cancelled.String())
		})
	}
}
