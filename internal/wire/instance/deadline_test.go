package instance

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestIdleConnectionOutlivesTheLastDeadline(t *testing.T) {
	// Guards against a good idle connection that is thrown away since the deadline of its last request has passed.
	Convey("A request uses the connection of one whose deadline has passed since", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = c.Write([]byte(response(id, "body")))
			}
		})
		c := New(instance.address)
		first := request("1")
		first.Deadline = time.Now().Add(500 * time.Millisecond)
		_, err := c.Do(context.Background(), first)
		So(err, ShouldBeNil)
		time.Sleep(time.Until(first.Deadline) + 10*time.Millisecond)
		_, err = c.Do(context.Background(), request("2"))
		So(err, ShouldBeNil)
		So(c.Opened(), ShouldEqual, 1)
	})
}
