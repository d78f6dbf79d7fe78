package router

import (
	"context"
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

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// TestRequestOfACallerThatLeft guards against a request that is sent to the instance though its caller has left before, as after a stall of the daemon.
func TestRequestOfACallerThatLeft(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "signed")
	}))
	defer server.Close()
	settings := Settings{Instance: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	e := newExecutor(settings, signedHeads{}, newWarmUp(settings, signedHeads{}, logrus.New(), telemetry.NewMetrics("h", "z")), bounded.NewAccount(settings.memoryLimits()))
	defer e.instance.Close()
	e.configured = true
	lastID := 0
	send := func(ctx context.Context) runResult {
		lastID++
		id := strconv.Itoa(lastID)
		return e.run(ctx, &runRequest{
			RequestID: id, Method: "GET", Target: "/", HTTPHost: "h", Header: headerFields{"Request-Id": {id}}, Remaining: 5 * time.Second, Idempotent: true,
		})
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	Convey("It is not sent, also where a slot and a connection are free", t, func() {
		const requests = 50
		for range requests {
			So(send(t.Context()).Outcome, ShouldEqual, call.Whole)
			res := send(ended)
			So(res.Outcome, ShouldEqual, call.NotRun)
			So(res.Reason, ShouldEqual, call.Cancelled)
			So(res.Arrived, ShouldBeFalse)
		}
		So(received.Load(), ShouldEqual, requests)
	})
}
