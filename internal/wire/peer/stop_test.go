package peer

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// heldListener accepts one connection and completes its handshake once release is closed.
type heldListener struct {
	address  netip.AddrPort
	accepted chan struct{}
	release  chan struct{}
	// received has all bytes after the handshake, up to the end of the connection.
	received chan []byte
}

func listenHeld(t *testing.T) *heldListener {
	l, err := net.Listen("tcp", loopback.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	h := &heldListener{
		address:  netip.MustParseAddrPort(l.Addr().String()),
		accepted: make(chan struct{}),
		release:  make(chan struct{}),
		received: make(chan []byte, 1),
	}
	go h.serve(l)
	return h
}

func (h *heldListener) serve(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	close(h.accepted)
	<-h.release
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	handshake := listenerHandshake{secrets: []string{noSecret}}
	buffer := make([]byte, 1)
	for !handshake.done {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := handshake.feed(buffer, func(out []byte) { _, _ = conn.Write(out) }); err != nil {
			return
		}
	}
	received, _ := io.ReadAll(conn)
	h.received <- received
}

// blockLoop keeps one of the node's event loops in its logger, as a loop that is busy would be, until the returned function is called.
// So Stop doesn't return.
func blockLoop(t *testing.T, n *Node, address netip.AddrPort) (unblock func()) {
	blocked, resume := make(chan struct{}), make(chan struct{})
	n.logger = func(netip.AddrPort, error) {
		close(blocked)
		<-resume
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = conn.Write(make([]byte, helloSize))
	<-blocked
	return func() { close(resume) }
}

// Guards against a connection whose dial ends while the node stops: it was added to event loops that end, and a request was sent on it.
func TestStopDuringDial(t *testing.T) {
	Convey("A connection whose handshake ends while the node stops is closed, and nothing is sent on it", t, func() {
		held := listenHeld(t)
		address := loopback.Address()
		node := New(address, withLongTimeouts)
		unblock := blockLoop(t, node, address)
		called := make(chan error, 1)
		go func() {
			_, err := Call[message, message](t.Context(), node, held.address, KindCall, message{"x"})
			called <- err
		}()
		<-held.accepted
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			node.Stop()
		}()
		<-node.stopped
		close(held.release)
		err := <-called
		unblock()
		<-stopped

		So(err, ShouldWrap, ErrNotSent)
		So(<-held.received, ShouldBeEmpty)
		So(node.Connections(), ShouldEqual, 0)
	})
	Convey("A node that has stopped dials nobody", t, func() {
		held := listenHeld(t)
		close(held.release)
		node := New(loopback.Address(), withLongTimeouts)
		So(node.Start(), ShouldBeNil)
		node.Stop()
		_, err := Call[message, message](t.Context(), node, held.address, KindCall, message{"x"})
		So(err, ShouldWrap, ErrNotSent)
		So(isClosed(held.accepted), ShouldBeFalse)
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
