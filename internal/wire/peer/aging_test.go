package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// timedMessage states how much time is left.
type timedMessage struct {
	Left time.Duration `msgpack:"left"`
	Body string        `msgpack:"body"`
}

func (m *timedMessage) Age(elapsed time.Duration) { m.Left -= elapsed }

// pausingRelay passes what clients send on to the server, and pauses before the byte with the number.
func pausingRelay(l net.Listener, server netip.AddrPort, pauseAt int64, pause time.Duration) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", server.String())
		if err != nil {
			_ = from.Close()
			return
		}
		go func() {
			_, _ = io.Copy(from, to)
			_ = from.Close()
		}()
		go func() {
			_, _ = io.CopyN(to, from, pauseAt)
			time.Sleep(pause)
			_, _ = io.Copy(to, from)
			_ = to.Close()
		}()
	}
}

// TestTimeOnTheWay guards against a receiver that begins work for which its sender has no time any more, since connecting or transferring a large
// message took a part of the time that the message states.
func TestTimeOnTheWay(t *testing.T) {
	const (
		left  = time.Minute
		pause = 300 * time.Millisecond
	)
	large := strings.Repeat("x", 10*pieceSize)
	for _, c := range []struct {
		name    string
		pauseAt int64
		body    string
		most    time.Duration
	}{
		{"the handshake took long", 0, "", left - pause},
		{"the transfer took long", 5 * pieceSize, large, left - pause},
		{"nothing took long", 1 << 30, large, left},
	} {
		Convey("The time that is left arrives without that on the way: "+c.name, t, func() {
			server := loopback.Address()
			s, client := New(server, withLongTimeouts), New(loopback.Address(), withLongTimeouts)
			var arrived atomic.Int64
			Handle(s, KindCall, func(_ context.Context, _ netip.AddrPort, m timedMessage) message {
				arrived.Store(int64(m.Left))
				return message{}
			})
			for _, n := range []*Node{s, client} {
				So(n.Start(), ShouldBeNil)
				defer n.Stop()
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			go pausingRelay(l, server, c.pauseAt, pause)
			to := netip.MustParseAddrPort(l.Addr().String())
			_, err = Call[timedMessage, message](t.Context(), client, to, KindCall, timedMessage{Left: left, Body: c.body})
			So(err, ShouldBeNil)
			So(time.Duration(arrived.Load()), ShouldBeBetweenOrEqual, left/2, c.most)
		})
	}
}
