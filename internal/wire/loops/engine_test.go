package loops

import (
	"os"
	"sync"
	"testing"

	"github.com/lesismal/nbio"
	. "github.com/smartystreets/goconvey/convey"
)

func TestStopRightAfterStart(t *testing.T) {
	// Guards against losing a stop that comes before the event loops run, as on a busy machine: the process never
	// ended and used two cores.
	Convey("An engine that has started can be stopped at once", t, func() {
		var starters sync.WaitGroup
		failed := make(chan error, 400)
		for range 20 {
			starters.Go(func() {
				for range 20 {
					engine := New(nbio.Config{Network: "tcp", Addrs: []string{"127.0.0.1:0"}, NPoller: 3}, Handlers{
						Open:  func(*nbio.Conn) {},
						Data:  func(*nbio.Conn, []byte) {},
						Close: func(*nbio.Conn, error) {},
					})
					if err := engine.Start(); err != nil {
						failed <- err
						return
					}
					engine.Stop()
				}
			})
		}
		starters.Wait()
		So(failed, ShouldBeEmpty)
	})
	Convey("An address that the host doesn't have is an error", t, func() {
		engine := New(nbio.Config{Network: "tcp", Addrs: []string{"192.0.2.1:1"}, NPoller: 1}, Handlers{})
		So(engine.Start(), ShouldNotBeNil)
	})
}

func TestStartWithAnyFreeDescriptors(t *testing.T) {
	// Guards against probes that all reach the same loop: open and closed files of the process may let its descriptors
	// go up in steps of two, and the daemon failed to start with one of two loops reached.
	Convey("Each loop is reached whatever descriptors are free", t, func() {
		for pattern := range 64 {
			var files []*os.File
			for i := range 24 {
				f, err := os.Open(os.DevNull)
				So(err, ShouldBeNil)
				if pattern>>(i%6)&1 == 0 {
					defer func() { _ = f.Close() }()
					continue
				}
				files = append(files, f)
			}
			for _, f := range files {
				_ = f.Close()
			}
			engine := New(nbio.Config{Network: "tcp", Addrs: []string{"127.0.0.1:0"}, NPoller: 2}, Handlers{
				Open:  func(*nbio.Conn) {},
				Data:  func(*nbio.Conn, []byte) {},
				Close: func(*nbio.Conn, error) {},
			})
			So(engine.Start(), ShouldBeNil)
			engine.Stop()
		}
	})
}
