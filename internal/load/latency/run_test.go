package latency

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

func TestRun(t *testing.T) {
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(30 * time.Millisecond) }))
	t.Cleanup(slow.Close)
	quick := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(quick.Close)
	Convey("The added latency of a way is relative to the first way", t, func() {
		results, err := Run(t.Context(), Plan{
			Ways: []Way{{"quick", quick.URL}, {"slow", slow.URL}}, Rate: 50, Length: 300 * time.Millisecond,
		})
		So(err, ShouldBeNil)
		So(results, ShouldHaveLength, 2)
		So(results[0].Whole, ShouldEqual, 15)
		So(results[1].Whole, ShouldEqual, 15)
		So(results[1].P50Ms, ShouldBeGreaterThanOrEqualTo, 30)
		So(results[1].AddedP50Ms, ShouldEqual, results[1].P50Ms-results[0].P50Ms)
	})
	Convey("A plan without ways is an error", t, func() {
		_, err := Run(t.Context(), Plan{Rate: 1, Length: time.Second})
		So(err, ShouldNotBeNil)
	})
}

func TestFailuresAreCountedByReason(t *testing.T) {
	// Guards against failures reported as a mere number, which shows neither the reason of a refusal nor who refused.
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"a refusal by the daemon", respond(http.StatusServiceUnavailable, `{"outcome":"notRun","reason":"overloaded"}`), "notRun overloaded"},
		{"an upstream's error response", respond(http.StatusBadGateway, "no"), "status 502"},
		{"no response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "connection closed"},
		{"a truncated response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		}, "connection closed"},
	}
	Convey("Each failure is counted by its reason", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				results, err := Run(t.Context(), Plan{Ways: []Way{{"way", server.URL}}, Rate: 50, Length: 100 * time.Millisecond})
				So(err, ShouldBeNil)
				So(results[0].Failed, ShouldBeGreaterThan, 0)
				So(results[0].Failures, ShouldResemble, map[string]int64{c.want: results[0].Failed})
			})
		}
	})
	Convey("A closed port counts as a refused connection", t, func() {
		closedPort := "http://" + loopback.Address().String()
		results, err := Run(t.Context(), Plan{Ways: []Way{{"way", closedPort}}, Rate: 50, Length: 100 * time.Millisecond})
		So(err, ShouldBeNil)
		So(results[0].Failures, ShouldResemble, map[string]int64{"connection refused": results[0].Failed})
	})
}
