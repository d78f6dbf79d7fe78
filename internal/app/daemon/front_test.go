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
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
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
		{"cancelled while the caller waits", cancelled, false, "response replaced r1 499 502"},
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
