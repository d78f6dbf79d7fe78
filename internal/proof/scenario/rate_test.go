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

// span is the time, in nanoseconds since 1970, in which a request was let in.
type span struct{ from, to int64 }

// mostOver returns by how many requests burst + rate × length is exceeded in
// the worst interval; less than nothing means that no interval reaches it.
//
// An interval counts the requests whose span lies inside it, since only of those
// it is certain that they were let in inside it.
func mostOver(all []span, rate, burst float64) float64 {
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

func TestMostOver(t *testing.T) {
	second := int64(time.Second)
	for _, c := range []struct {
		name  string
		spans []span
		want  float64
	}{
		{"none", nil, -2},
		{"as many as allowed at once", []span{{0, 0}, {0, 0}}, 0},
		{"one more than allowed at once", []span{{0, 0}, {0, 0}, {0, 0}}, 1},
		{"one more, a second later", []span{{0, 0}, {0, 0}, {second, second}}, 0},
		{"one too many late in a quiet trace", []span{{0, 0}, {9 * second, 9 * second}, {9 * second, 9 * second}, {9 * second, 9 * second}}, 1},
		{"one that may have been let in later", []span{{0, 0}, {0, 0}, {0, second}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("The worst interval is found", t, func() {
				So(mostOver(c.spans, 1, 2), ShouldEqual, c.want)
			})
		})
	}
}

// traceOf returns the runs of an organisation over all upstreams; they must keep their trace.
func traceOf(ts *testscript.TestScript, organisation string) []upstream.Run {
	f := fleetOf(ts)
	var all []upstream.Run
	for _, name := range f.order {
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

// cmdPaced is as load, for an organisation whose rate binds.
func cmdPaced(ts *testscript.TestScript, _ bool, args []string) {
	fleetOf(ts).paced = startLoad(ts, args)
}

// cmdPacedEnd compares the times of the runs, as the upstreams have them, with
// the rate. A request was let in after it was sent and before it ran, whatever
// became of its answer.
func cmdPacedEnd(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "pacedend ORGANISATION RATE BURST")
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	l := fleetOf(ts).paced
	l.end()
	var all []span
	for _, r := range traceOf(ts, args[0]) {
		number, err := strconv.Atoi(strings.TrimPrefix(r.Echo, "load-"))
		ts.Check(err)
		all = append(all, span{from: l.sent[number].UnixNano(), to: r.At.UnixNano()})
	}
	fmt.Fprintf(ts.Stdout(), "sent=%d %v overRate=%d runs=%d untrue=%d over=%.1f\n",
		len(l.sent), l.counts, l.overRate, len(all), l.untrue(ts), mostOver(all, rate, burst))
}
