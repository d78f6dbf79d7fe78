package httpd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

func TestStopWaitsForUnsentResponses(t *testing.T) {
	// Guards against a connection that Stop takes for idle, and closes long before its deadline, while the end of a large response is still in the
	// send queue because its caller reads slowly.
	large := bytes.Repeat([]byte("v"), 32<<20)
	address := loopback.Address()
	s := New(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		_, _ = w.Write(large)
	}))
	Convey("A response that is read before the deadline of Stop arrives whole", t, func() {
		So(s.Start(), ShouldBeNil)
		conn, err := net.Dial("tcp", address.String())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(minIdleTime + 100*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		received, _ := io.Copy(io.Discard, io.LimitReader(conn, int64(len(large))))
		So(received, ShouldEqual, len(large))
		<-stopped
	})
}
