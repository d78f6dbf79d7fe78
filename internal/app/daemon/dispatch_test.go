package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// A service has no host left, or a request has no budget, and the caller is refused. Without a log line for this case
// the log shows that the request arrived but not how it ended.
func TestRequestWithoutHostIsLogged(t *testing.T) {
	cases := []struct {
		name    string
		service string
		runs    int
		reason  call.Reason
	}{
		{"no host", "unlisted", 4, call.NoUpstream},
		{"no budget", "lookup", 0, call.BudgetSpent},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			var out bytes.Buffer
			d := singleHostDaemon(loopback.Address())
			d.log = telemetry.NewLog(&out, d.settings.LogLevel)
			a := admittedRequest{account: budget.New(c.runs), request: call.Request{
				ID: "r1", Organisation: "dealer", Operation: "lookup.find", Service: c.service, Method: http.MethodPost, Path: "/",
				Header: http.Header{}, Deadline: time.Now().Add(time.Minute),
			}}
			So(d.dispatch(context.Background(), a).Reason, ShouldEqual, c.reason)
			var line struct{ Decision, RequestID, Host, Outcome, Reason string }
			So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
			So(line.Decision, ShouldEqual, "place")
			So(line.RequestID, ShouldEqual, "r1")
			So(line.Host, ShouldBeEmpty)
			So(line.Reason, ShouldEqual, c.reason.String())
		})
	}
}
