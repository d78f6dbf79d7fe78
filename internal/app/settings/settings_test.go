package settings

import (
	"bytes"
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
)

var least = []string{"-host", "h", "-service", "s", "-zone", "z"}

func TestParse(t *testing.T) {
	Convey("Settings come from flags and environment", t, func() {
		t.Setenv("FOXTAILHOOK_DEFAULT_TIMEOUT", "750ms")
		s, err := Parse(append(least, "-slots", "9"), &bytes.Buffer{})
		So(err, ShouldBeNil)
		So(s.Slots, ShouldEqual, 9)
		So(s.DefaultTimeout, ShouldEqual, 750*time.Millisecond)
	})
	Convey("Every fault is told in one go", t, func() {
		_, err := Parse([]string{"-slots", "0", "-callers", "here", "-zone", "z", "-watch", "1h"}, &bytes.Buffer{})
		problems, ok := err.(Problems)
		So(ok, ShouldBeTrue)
		So(problems, ShouldHaveLength, 5)
	})
	Convey("Choices are taken by name, and others are refused", t, func() {
		s, err := Parse(append(least, "-limit", "aimd", "-queue", "lifo"), &bytes.Buffer{})
		So(err, ShouldBeNil)
		So(s.Limit, ShouldEqual, limit.AIMD)
		So(s.Queue, ShouldEqual, queue.LIFO)
		_, err = Parse(append(least, "-limit", "magic", "-queue", ""), &bytes.Buffer{})
		So(err, ShouldHaveLength, 2)
	})
	Convey("Help lists the flags", t, func() {
		var out bytes.Buffer
		_, err := Parse([]string{"-h"}, &out)
		So(err, ShouldEqual, flag.ErrHelp)
		So(out.String(), ShouldContainSubstring, "-default-timeout")
	})
}
