package latency

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRun(t *testing.T) {
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(30 * time.Millisecond) }))
	t.Cleanup(slow.Close)
	quick := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(quick.Close)
	Convey("What a way adds is told against the first", t, func() {
		results, err := Run(t.Context(), Plan{
			Ways: []Way{{"quick", quick.URL}, {"slow", slow.URL}}, Rate: 50, Length: 300 * time.Millisecond,
		})
		So(err, ShouldBeNil)
		So(results, ShouldHaveLength, 2)
		So(results[0].Whole, ShouldBeGreaterThan, 0)
		So(results[1].P50Ms, ShouldBeGreaterThanOrEqualTo, 30)
		So(results[1].AddedP50Ms, ShouldEqual, results[1].P50Ms-results[0].P50Ms)
	})
	Convey("A plan without ways is an error", t, func() {
		_, err := Run(t.Context(), Plan{Rate: 1, Length: time.Second})
		So(err, ShouldNotBeNil)
	})
}
