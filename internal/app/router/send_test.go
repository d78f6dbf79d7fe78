package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// TestIdleConnectionHoldsNoBody guards against idle connections to the instance that hold the memory of the last request's body.
func TestIdleConnectionHoldsNoBody(t *testing.T) {
	address := loopback.Address()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_ = req.Body.Close()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: signed\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Request-Id"))
		}
	}()
	settings := Settings{Instance: address, Health: address}
	e := newExecutor(settings, signedHeads{}, newWarmUp(settings, signedHeads{}, logrus.New(), telemetry.NewMetrics("h", "z")), bounded.NewAccount(settings.memoryLimits()))
	defer e.instance.Close()
	send := func() weak.Pointer[[1 << 20]byte] {
		body := new([1 << 20]byte)
		header := http.Header{"Request-Id": {"1"}}
		res := e.send(t.Context(), &runRequest{RequestID: "1", Method: "POST", Target: "/", HTTPHost: "h", Body: body[:]}, header, time.Now().Add(5*time.Second))
		if res.Status != http.StatusOK {
			t.Fatalf("status %d, reason %s", res.Status, res.Reason)
		}
		return weak.Make(body)
	}
	Convey("The body is collected while the connection is idle", t, func() {
		held := send()
		for range 5 {
			runtime.GC()
			time.Sleep(20 * time.Millisecond)
		}
		So(held.Value() == nil, ShouldBeTrue)
	})
}
