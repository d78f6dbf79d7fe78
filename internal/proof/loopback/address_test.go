package loopback

import (
	"net"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAddress(t *testing.T) {
	Convey("Each address is different and can be listened on", t, func() {
		seen := map[netip.AddrPort]bool{}
		for range 2 * valuesPerByte {
			a := Address()
			So(seen[a], ShouldBeFalse)
			seen[a] = true
			l, err := net.Listen("tcp", a.String())
			So(err, ShouldBeNil)
			So(l.Close(), ShouldBeNil)
		}
	})
}
