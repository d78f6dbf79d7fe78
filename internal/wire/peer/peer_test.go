package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

type message struct {
	Text string `msgpack:"text"`
}

// withLongTimeouts sets dial and handshake timeouts so long that no test result depends on the machine's speed.
func withLongTimeouts(n *Node) { n.dialTimeout, n.handshakeTimeout = testTimeout, testTimeout }

func startPair(t *testing.T, respond func(context.Context, netip.AddrPort, message) message, opts ...Option) (client *Node, server netip.AddrPort) {
	server = loopback.Address()
	opts = append([]Option{withLongTimeouts}, opts...)
	s := New(server, opts...)
	Handle(s, KindCall, respond)
	client = New(loopback.Address(), opts...)
	for _, n := range []*Node{s, client} {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Stop)
	}
	return client, server
}

func TestConcurrentCallsOnOneLink(t *testing.T) {
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message {
		if len(m.Text) == 1 {
			time.Sleep(20 * time.Millisecond)
		}
		return m
	})
	Convey("Responses that arrive out of order reach their own calls", t, func() {
		var all sync.WaitGroup
		mismatches := make(chan string, 200)
		for _, text := range []string{"a", "bb", "c", "dd"} {
			for range 50 {
				all.Go(func() {
					reply, err := Call[message, message](t.Context(), client, server, KindCall, message{text})
					if err != nil || reply.Text != text {
						mismatches <- fmt.Sprintf("%s/%s: %v", text, reply.Text, err)
					}
				})
			}
		}
		all.Wait()
		close(mismatches)
		for mismatch := range mismatches {
			So(mismatch, ShouldBeEmpty)
		}
	})
}

func TestConcurrentCallsShareOneDial(t *testing.T) {
	// A link is lost while hundreds of requests need it. If each dialed a connection of its own,
	// the host would be busy with their handshakes, and on a loaded machine some
	// requests would be refused because theirs timed out.
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message { return m })
	Convey("Calls that start while a connection is being opened wait for it", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		var opened atomic.Int64
		go relay(l, server, &opened)
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() {
				_, err := Call[message, message](t.Context(), client, netip.MustParseAddrPort(l.Addr().String()), KindCall, message{"x"})
				if err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		So(opened.Load(), ShouldEqual, 1)
	})
}

// relay forwards connections and counts them.
func relay(l net.Listener, to netip.AddrPort, opened *atomic.Int64) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		opened.Add(1)
		far, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(near, far) }()
		go func() { _, _ = io.Copy(far, near) }()
	}
}

func TestCancelledCallStopsTheHandler(t *testing.T) {
	// A caller hangs up while another host runs its request. Unless the
	// cancellation is forwarded, that host goes on working for nothing.
	begun, stopped := make(chan struct{}), make(chan struct{})
	client, server := startPair(t, func(ctx context.Context, _ netip.AddrPort, m message) message {
		close(begun)
		<-ctx.Done()
		close(stopped)
		return m
	})
	Convey("The handler's context is cancelled with the caller's", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-begun
			cancel()
		}()
		_, err := Call[message, message](ctx, client, server, KindCall, message{"x"})
		So(err, ShouldEqual, context.Canceled)
		<-stopped
	})
}

func TestCallToClosedPort(t *testing.T) {
	client, _ := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message { return m })
	Convey("A call to a port on which nothing listens fails with ErrNotSent", t, func() {
		_, err := Call[message, message](t.Context(), client, loopback.Address(), KindCall, message{"x"})
		So(err, ShouldWrap, ErrNotSent)
	})
}

// breakingPeer completes the handshake, reads up to the given number of bytes and closes the connection.
func breakingPeer(t *testing.T, reads int64) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			closeAfterReading(conn, reads)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func closeAfterReading(conn net.Conn, reads int64) {
	defer func() { _ = conn.Close() }()
	h := listenerHandshake{secrets: []string{noSecret}}
	buffer := make([]byte, 1)
	for !h.done {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := h.feed(buffer, func(out []byte) { _, _ = conn.Write(out) }); err != nil {
			return
		}
	}
	_, _ = io.CopyN(io.Discard, conn, reads)
}

// announcedSize returns how many bytes the announcement of a node without handlers takes on the connection, which precedes the first request.
func announcedSize() int64 {
	payload, err := encode(announcement{KindOffer: {Request: offerVersion}}, byName)
	So(err, ShouldBeNil)
	return int64(lengthSize + headerSize + len(payload))
}

// wireSize returns how many bytes a request takes on the connection.
func wireSize(m message) int64 {
	payload, err := encode(m, byName)
	So(err, ShouldBeNil)
	request := frame{form: formRequest, kind: KindCall, payload: payload}
	if len(payload) <= pieceSize {
		return int64(len(request.encode()))
	}
	return int64(len(inPieces(request, 1, pieceSize)))
}

func TestConnectionClosedDuringCall(t *testing.T) {
	// A connection breaks while a request is in flight. A request of which only a part was sent
	// can't have run, and its caller may retry at once; whether one that was
	// sent whole has run is unknown.
	const whole, large = 0, 32 << 20
	cases := []struct {
		name  string
		bytes int
		reads int64
		want  error
	}{
		{"a large request sent in part", large, 1 << 20, ErrNotSent},
		{"a large request sent whole", large, whole, ErrLost},
		{"a small request sent whole", 100, whole, ErrLost},
		{"a small request of which one byte was read", 100, 1, ErrLost},
	}
	client := New(loopback.Address(), withLongTimeouts)
	if err := client.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Stop)
	Convey("ErrNotSent is returned only for a request that was not sent whole", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				request := message{string(make([]byte, c.bytes))}
				reads := c.reads
				if reads == whole {
					reads = wireSize(request)
				}
				peer := breakingPeer(t, announcedSize()+reads)
				_, err := Call[message, message](t.Context(), client, peer, KindCall, request)
				So(err, ShouldWrap, c.want)
			})
		}
	})
}

// A host is unreachable in such a way that dialing it hangs. A request that needs a rate token
// could ask the next home; if it waited for the dial to time out instead, its caller
// would be refused though it is within its rate.
func TestCallContextEndsDuringDial(t *testing.T) {
	Convey("A call ends with its context while the connection is still being opened", t, func() {
		l, err := net.Listen("tcp", loopback.Address().String())
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		client := New(loopback.Address(), WithDialTimeout(time.Minute))
		So(client.Start(), ShouldBeNil)
		defer client.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err = Call[message, message](ctx, client, netip.MustParseAddrPort(l.Addr().String()), KindLease, message{"a"})
		So(err, ShouldWrap, ErrNotSent)
		So(err.Error(), ShouldContainSubstring, context.DeadlineExceeded.Error())
	})
}
