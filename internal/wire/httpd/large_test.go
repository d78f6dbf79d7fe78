package httpd

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLargeBodyInParts guards against a large body that is written in parts and arrives otherwise than written, read by a slow caller.
func TestLargeBodyInParts(t *testing.T) {
	part := strings.Repeat("0123456789abcdef", 4<<10)
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stated" {
			w.Header().Set("Content-Length", "8388608")
		}
		raw := []byte(part)
		for range 128 {
			_, _ = w.Write(raw)
		}
		clear(raw)
	})
	Convey("Both bodies arrive whole, and the responses in turn", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		pipelineRequests(conn, "/stated", "/kept", "/stated")
		time.Sleep(200 * time.Millisecond)
		in := bufio.NewReaderSize(conn, 4<<10)
		for range 3 {
			res, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			raw, err := io.ReadAll(res.Body)
			So(err, ShouldBeNil)
			So(string(raw) == strings.Repeat(part, 128), ShouldBeTrue)
		}
	})
}
