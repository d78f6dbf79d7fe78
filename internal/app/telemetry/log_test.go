package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestLinesAreAsLogrusWritesThem(t *testing.T) {
	// A line that is no JSON, or that a value has broken out of, is lost to
	// whoever looks for the decision: it can't be found by its request.
	rapid.Check(t, func(t *rapid.T) {
		fields := logrus.Fields{}
		for i := range rapid.IntRange(0, 6).Draw(t, "fields") {
			fields[rapid.String().Draw(t, fmt.Sprintf("key%d", i))] = rapid.OneOf(
				rapid.Just[any](errors.New("broken \"pipe\"")),
				rapid.Map(rapid.String(), func(s string) any { return s }),
				rapid.Map(rapid.Int64(), func(n int64) any { return n }),
				rapid.Map(rapid.Uint64(), func(n uint64) any { return n }),
				rapid.Map(rapid.Bool(), func(b bool) any { return b }),
				rapid.Map(rapid.SliceOfN(rapid.String(), 0, 3), func(s []string) any { return s }),
			).Draw(t, fmt.Sprintf("value%d", i))
		}
		entry := &logrus.Entry{Data: fields, Level: logrus.InfoLevel, Message: rapid.String().Draw(t, "message"), Time: time.Unix(1, 2).UTC()}
		want, err := (&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}).Format(entry)
		if err != nil {
			t.Fatal(err)
		}
		got, err := formatter{}.Format(entry)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Count(got, []byte("\n")) != 1 {
			t.Fatalf("not one line: %q", got)
		}
		var a, b map[string]any
		if err := json.Unmarshal(got, &a); err != nil {
			t.Fatalf("%v: %q", err, got)
		}
		if err := json.Unmarshal(want, &b); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("got %q, logrus %q", got, want)
		}
	})
}

func TestWhatCannotBeEncodedKeepsItsLine(t *testing.T) {
	Convey("A value without a JSON form is written as text", t, func() {
		var out bytes.Buffer
		NewLog(&out, logrus.InfoLevel).WithField("odd", func() {}).WithField("level", "x").Info("m")
		var line map[string]any
		So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
		So(line["fields.level"], ShouldEqual, "x")
		So(line["level"], ShouldEqual, "info")
	})
}

func TestBufferedLosesNoLine(t *testing.T) {
	// A daemon is told to stop while requests end. The lines of its last tenth
	// of a second tell what became of them; one that stays in the buffer is gone.
	Convey("Every line is there once the writer is closed, and later ones too", t, func() {
		var out bytes.Buffer
		b := NewBuffered(&out)
		log := NewLog(b, logrus.InfoLevel)
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				for range 500 {
					log.WithField("decision", "place").Info(strings.Repeat("x", 100))
				}
			})
		}
		all.Wait()
		So(b.Close(), ShouldBeNil)
		So(bytes.Count(out.Bytes(), []byte("\n")), ShouldEqual, 4000)
		log.Info("late")
		So(bytes.Count(out.Bytes(), []byte("\n")), ShouldEqual, 4001)
		So(b.Close(), ShouldBeNil)
	})
}

// stuck is a reader of the log that has stopped: writes to it wait until it goes on.
type stuck struct {
	goOn chan struct{}
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.goOn
	return s.out.Write(p)
}

func TestReaderOfTheLogThatStops(t *testing.T) {
	// Whoever collects the logs hangs, and the pipe to it is full. A daemon that waits for it answers nobody any more.
	Convey("Lines come in without a wait, those beyond the bound are dropped, and their number is told", t, func() {
		out := &stuck{goOn: make(chan struct{})}
		b := NewBuffered(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 3 * bufferSize / 1024
		for range lines {
			n, err := b.Write(line)
			So(n == len(line) && err == nil, ShouldBeTrue)
		}
		close(out.goOn)
		So(b.Close(), ShouldBeNil)
		written := out.out.String()
		var told struct{ Dropped int }
		last := strings.TrimSpace(written[strings.LastIndexByte(strings.TrimSpace(written), '\n')+1:])
		So(json.Unmarshal([]byte(last), &told), ShouldBeNil)
		So(told.Dropped, ShouldBeGreaterThan, 0)
		So(strings.Count(written, "x\n")+told.Dropped, ShouldEqual, lines)
	})
}
