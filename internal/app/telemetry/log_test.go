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

func TestFormatterMatchesLogrus(t *testing.T) {
	// Guards against a line that isn't valid JSON, for example because a value
	// wasn't escaped: the decision could not be found by its request id any more.
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
		var gotFields, wantFields map[string]any
		if err := json.Unmarshal(got, &gotFields); err != nil {
			t.Fatalf("%v: %q", err, got)
		}
		if err := json.Unmarshal(want, &wantFields); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(gotFields) != fmt.Sprint(wantFields) {
			t.Fatalf("got %q, logrus %q", got, want)
		}
	})
}

func TestFormatterWritesUnencodableValues(t *testing.T) {
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
	// Guards against losing the last lines at a shutdown: those of the last tenth of a
	// second are still in the buffer and hold the outcomes of the last requests.
	Convey("After Close, all earlier lines are written, and later ones are written at once", t, func() {
		var out bytes.Buffer
		b := NewBuffered(&out)
		log := NewLog(b, logrus.InfoLevel)
		var writers sync.WaitGroup
		for range 8 {
			writers.Go(func() {
				for range 500 {
					log.WithField("decision", "place").Info(strings.Repeat("x", 100))
				}
			})
		}
		writers.Wait()
		So(b.Close(), ShouldBeNil)
		So(bytes.Count(out.Bytes(), []byte("\n")), ShouldEqual, 4000)
		log.Info("late")
		So(bytes.Count(out.Bytes(), []byte("\n")), ShouldEqual, 4001)
		So(b.Close(), ShouldBeNil)
	})
}

// blockedWriter blocks writes until unblock is closed, as a pipe does whose reader has stopped reading.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.out.Write(p)
}

func TestBufferedDropsLinesWhenBlocked(t *testing.T) {
	// Guards against a daemon that stops answering because the log collector hangs and the pipe to it is full.
	Convey("Writes don't block, lines beyond the bound are dropped, and their number is logged", t, func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		b := NewBuffered(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 3 * maxPending / 1024
		for range lines {
			n, err := b.Write(line)
			So(n == len(line) && err == nil, ShouldBeTrue)
		}
		close(out.unblock)
		So(b.Close(), ShouldBeNil)
		written := out.out.String()
		var notice struct{ Dropped int }
		last := strings.TrimSpace(written[strings.LastIndexByte(strings.TrimSpace(written), '\n')+1:])
		So(json.Unmarshal([]byte(last), &notice), ShouldBeNil)
		So(notice.Dropped, ShouldBeGreaterThan, 0)
		So(strings.Count(written, "x\n")+notice.Dropped, ShouldEqual, lines)
	})
}
