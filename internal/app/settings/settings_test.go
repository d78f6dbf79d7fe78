package settings

import (
	"bytes"
	"flag"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
)

var requiredFlags = []string{"-host", "h", "-service", "s", "-zone", "z"}

func TestParse(t *testing.T) {
	Convey("Settings come from flags and environment", t, func() {
		t.Setenv("FOXTAILHOOK_DEFAULT_TIMEOUT", "750ms")
		s, err := Parse(append(requiredFlags, "-slots", "9"), &bytes.Buffer{})
		So(err, ShouldBeNil)
		So(s.Slots, ShouldEqual, 9)
		So(s.DefaultTimeout, ShouldEqual, 750*time.Millisecond)
	})
	Convey("All faults are reported at once", t, func() {
		_, err := Parse([]string{"-slots", "0", "-callers", "here", "-zone", "z", "-watch", "1h"}, &bytes.Buffer{})
		problems, ok := err.(Problems)
		So(ok, ShouldBeTrue)
		So(problems, ShouldHaveLength, 5)
	})
	Convey("An unknown flag doesn't hide other faults", t, func() {
		cases := []struct {
			args   []string
			faults int
		}{
			{[]string{"-slot", "9", "-slots", "0"}, 2},
			{[]string{"-slot=9", "--slots=0", "-wacht", "1s"}, 3},
			{[]string{"-slot", "-slots", "0"}, 2},
			{[]string{"-slots", "0", "-unknown"}, 2},
			{[]string{"-slots", "9", "rest", "-slot", "1"}, 1},
			{[]string{"-slots"}, 1},
		}
		for _, c := range cases {
			_, err := Parse(append(slices.Clone(requiredFlags), c.args...), &bytes.Buffer{})
			So(err, ShouldHaveLength, c.faults)
		}
	})
	Convey("Choices are accepted by name, and unknown names are rejected", t, func() {
		s, err := Parse(append(requiredFlags, "-limit", "aimd", "-queue", "lifo"), &bytes.Buffer{})
		So(err, ShouldBeNil)
		So(s.Limit, ShouldEqual, limit.AIMD)
		So(s.Queue, ShouldEqual, queue.LIFO)
		_, err = Parse(append(requiredFlags, "-limit", "magic", "-queue", ""), &bytes.Buffer{})
		So(err, ShouldHaveLength, 2)
	})
	Convey("Help lists the flags", t, func() {
		var out bytes.Buffer
		_, err := Parse([]string{"-h"}, &out)
		So(err, ShouldEqual, flag.ErrHelp)
		So(out.String(), ShouldContainSubstring, "-default-timeout")
	})
}
