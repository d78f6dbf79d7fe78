package httpd

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// cutResponses is the number of connections that are closed right after the server has read from them. One in 50 stayed open.
	cutResponses = 2000
	// maxCloseTime is how long a client may take to learn that its connection was closed.
	maxCloseTime = 5 * time.Second
)

// TestCutResponseIsToldAtOnce guards against a connection that the server has closed and that stays open for its client, who waits for the rest of a
// response that was cut off.
func TestCutResponseIsToldAtOnce(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
	})
	Convey("A client learns at once that its response was cut off", t, func() {
		for range cutResponses {
			So(isCutOff(strings.TrimPrefix(url, "http://")), ShouldBeTrue)
		}
	})
}

// isCutOff sends a request and reports whether the connection ends within maxCloseTime.
func isCutOff(address string) bool {
	conn, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(maxCloseTime))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	So(err, ShouldBeNil)
	_, err = io.ReadAll(conn)
	failure, isTimeout := err.(net.Error)
	return !isTimeout || !failure.Timeout()
}
