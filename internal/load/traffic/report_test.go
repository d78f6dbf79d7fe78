package traffic

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReport(t *testing.T) {
	Convey("Responses are grouped by the second in which their requests were sent", t, func() {
		start := time.Now()
		r := &Runner{timeline: timeline{start: start}}
		add := func(at, took time.Duration, outcome string) { r.timeline.add(start.Add(at), outcome, took) }
		add(100*time.Millisecond, 3*time.Millisecond, "whole")
		add(200*time.Millisecond, 5*time.Second, "whole")
		add(2500*time.Millisecond, time.Millisecond, "notRun")
		add(2600*time.Millisecond, time.Millisecond, "")
		seconds := r.Timeline()
		So(seconds, ShouldHaveLength, 3)
		So(seconds[0].Whole, ShouldEqual, 2)
		So(seconds[0].P50, ShouldBeBetween, 2999*time.Microsecond, 3010*time.Microsecond) // The histogram keeps three significant digits.
		So(seconds[0].Max, ShouldBeGreaterThan, 4900*time.Millisecond)
		So(seconds[1], ShouldResemble, Second{At: 1})
		So([]int{seconds[2].Sent, seconds[2].Refused, seconds[2].Unknown}, ShouldResemble, []int{2, 1, 1})

		Convey("and written as a page and a table, with the operators' events", func() {
			plan := &Plan{Length: Duration(3 * time.Second), Events: []Event{{At: Duration(time.Second), Note: "key withdrawn"}}}
			dir := filepath.Join(t.TempDir(), "new")
			report := Report{Plan: plan, Result: Result{Sent: 4, Whole: 2, Refused: 1, Unknown: 1}, Seconds: seconds}
			So(report.Save(dir), ShouldBeNil)
			page, err := os.ReadFile(filepath.Join(dir, reportFile))
			So(err, ShouldBeNil)
			So(string(page), ShouldContainSubstring, "Sent 4: 2 whole, 1 refused, 1 unknown.")
			So(string(page), ShouldContainSubstring, "| 1 | 0 | 0 | 0 | 0 | 0.00 | 0.00 | 0.00 | 0.00 | `` | key withdrawn |")
			table, err := os.ReadFile(filepath.Join(dir, secondsFile))
			So(err, ShouldBeNil)
			So(strings.Split(string(table), "\n")[0], ShouldEqual, "second,sent,whole,refused,unknown,p50Ms,p90Ms,p99Ms,maxMs,events")
			So(strings.Count(string(table), "\n"), ShouldEqual, 4)
		})
	})
	Convey("Saving to a folder that can't be created is an error", t, func() {
		So((&Report{Plan: &Plan{}}).Save("/dev/null/x"), ShouldNotBeNil)
	})
}
