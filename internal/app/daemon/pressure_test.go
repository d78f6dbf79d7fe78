package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/pressure"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// singleHostDaemon serves one upstream and is the only host of its service.
func singleHostDaemon(address netip.AddrPort) *Daemon {
	s := settings.Default()
	s.Host, s.Service, s.Zone = "h", "lookup", "a"
	d := &Daemon{
		settings: s, log: telemetry.NewLog(io.Discard, s.LogLevel), placer: placing.New("a"),
		runNeeds: budget.NewNeeds(), throttles: pressure.New(), executor: newExecutor(s, upstream.New(address)),
	}
	hosts := &lists.Hosts{Hosts: []lists.Host{{Host: "h", Service: "lookup", Zone: "a"}}}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, hosts))
	d.members.Store(&member.View{})
	return d
}

// A service calls a deeper one that refuses for overload, and responds with 502. The throttle must learn of it;
// otherwise it keeps admitting requests that cost work at each hop and fail at the last.
func TestPressureReachesTheThrottle(t *testing.T) {
	cases := []struct {
		name      string
		status    int
		pressure  float64
		throttles int
	}{
		{"a failure with overload at a deeper service throttles the operation", http.StatusBadGateway, 1, 1},
		{"a failure without overload does not throttle it", http.StatusBadGateway, 0, 0},
		{"a success despite overload at a deeper service does not throttle it", http.StatusOK, 1, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			var d *Daemon
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				run, ok := d.executor.runs.find(r.Header.Get(upstream.HeaderToken))
				if ok {
					run.callStarted(time.Now())
					run.callEnded(time.Now(), c.pressure)
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			d = singleHostDaemon(netip.MustParseAddrPort(server.Listener.Addr().String()))
			a := admittedRequest{account: budget.New(4), request: call.Request{
				ID: "r1", Organisation: "dealer", Operation: "lookup.find", Service: "lookup", Method: http.MethodPost, Path: "/",
				Header: http.Header{}, Deadline: time.Now().Add(time.Minute), Priority: call.Interactive,
			}}
			answer := d.dispatch(context.Background(), a)
			So(answer.Outcome, ShouldEqual, call.Whole)
			So(answer.Status, ShouldEqual, c.status)
			So(answer.BudgetLeft, ShouldEqual, 3)
			So(d.throttles.Len(), ShouldEqual, c.throttles)
		})
	}
}
