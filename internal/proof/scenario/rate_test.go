package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/standin/upstream"
)

// span is the interval, in nanoseconds since 1970, during which a request was admitted.
type span struct{ from, to int64 }

// maxExcess returns by how many requests burst + rate × length is exceeded in
// the worst interval; a negative value means that no interval reaches it.
//
// An interval counts only the requests whose span lies inside it, since others
// may have been admitted outside it.
func maxExcess(all []span, rate, burst float64) float64 {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b span) int { return int(a.to - b.to) })
	worst := -burst
	for i := range all {
		begin, count := all[i].from, 0
		for _, s := range all {
			if s.from < begin {
				continue
			}
			count++
			length := time.Duration(s.to - begin)
			worst = max(worst, float64(count)-burst-rate*length.Seconds())
		}
	}
	return worst
}

func TestMaxExcess(t *testing.T) {
	second := int64(time.Second)
	for _, c := range []struct {
		name  string
		spans []span
		want  float64
	}{
		{"none", nil, -2},
		{"the whole burst at once", []span{{0, 0}, {0, 0}}, 0},
		{"one more than the burst at once", []span{{0, 0}, {0, 0}, {0, 0}}, 1},
		{"one more, a second later", []span{{0, 0}, {0, 0}, {second, second}}, 0},
		{"one more than the burst after a pause", []span{{0, 0}, {9 * second, 9 * second}, {9 * second, 9 * second}, {9 * second, 9 * second}}, 1},
		{"one that may have been admitted later", []span{{0, 0}, {0, 0}, {0, second}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("The excess of the worst interval is returned", t, func() {
				So(maxExcess(c.spans, 1, 2), ShouldEqual, c.want)
			})
		})
	}
}

// traceOf returns the runs of an organisation at all upstreams, which must have been started with -trace.
func traceOf(ts *testscript.TestScript, organisation string) []upstream.Run {
	f := fleetOf(ts)
	var all []upstream.Run
	for _, name := range f.hostNames {
		res, err := http.Get(fmt.Sprintf("http://%s/standin/trace", f.address(f.hosts[name].number, upstreamPort)))
		ts.Check(err)
		var runs []upstream.Run
		ts.Check(json.NewDecoder(res.Body).Decode(&runs))
		_ = res.Body.Close()
		for _, r := range runs {
			if r.Organisation == organisation {
				all = append(all, r)
			}
		}
	}
	return all
}

// cmdPaced is as load, for an organisation that sends above its rate.
func cmdPaced(ts *testscript.TestScript, _ bool, args []string) {
	fleetOf(ts).paced = startLoad(ts, args)
}

// cmdPacedEnd compares the times of the runs, as recorded by the upstreams, with
// the rate. A request was admitted after it was sent and before it ran, even if
// its response was lost.
func cmdPacedEnd(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "pacedend ORGANISATION RATE BURST")
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	l := fleetOf(ts).paced
	l.finish()
	var all []span
	for _, r := range traceOf(ts, args[0]) {
		number, err := strconv.Atoi(strings.TrimPrefix(r.Echo, "load-"))
		ts.Check(err)
		all = append(all, span{from: l.lastSent[number].UnixNano(), to: r.At.UnixNano()})
	}
	fmt.Fprintf(ts.Stdout(), "sent=%d %v overRate=%d runs=%d untrue=%d over=%.1f\n",
		len(l.lastSent), l.counts, l.overRate, len(all), l.notRunButRan(ts), maxExcess(all, rate, burst))
}
