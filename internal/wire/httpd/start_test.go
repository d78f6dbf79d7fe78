package httpd

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// Guards against a daemon that hangs, without an error, when another process has its port.
func TestStartOnAUsedPort(t *testing.T) {
	const servers, timeout = 20, 30 * time.Second
	Convey("A server whose port is in use returns an error at once", t, func() {
		address := loopback.Address()
		l, err := net.Listen("tcp", address.String())
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		results := make(chan error, servers)
		var all sync.WaitGroup
		for range servers {
			all.Go(func() { results <- New(address, http.NotFoundHandler()).Start() })
		}
		go func() {
			all.Wait()
			close(results)
		}()
		returned := 0
		for end := time.After(timeout); returned < servers; returned++ {
			select {
			case err := <-results:
				So(err, ShouldNotBeNil)
			case <-end:
				t.Fatalf("%d of %d servers still start", servers-returned, servers)
			}
		}
	})
}
