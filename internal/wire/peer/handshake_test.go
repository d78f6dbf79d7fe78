package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

func startEchoNode(t *testing.T, opts ...Option) (*Node, netip.AddrPort) {
	address := loopback.Address()
	n := New(address, append([]Option{withLongTimeouts}, opts...)...)
	Handle(n, KindCall, func(_ context.Context, _ netip.AddrPort, m message) message { return m })
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, address
}

func TestSecrets(t *testing.T) {
	// Without the fleet's secret, a process that reaches the peer port must not be able to
	// forward requests, for which it could choose the organisation and the budget. While
	// operators change the secret, hosts with the old and hosts with the new one must still accept each other.
	cases := []struct {
		name     string
		dialer   []string
		listener []string
		want     error
	}{
		{"the same secret", []string{"one"}, []string{"one"}, nil},
		{"no secret on either side", nil, nil, nil},
		{"a wrong secret", []string{"guess"}, []string{"one"}, ErrNotSent},
		{"no secret where one is required", nil, []string{"one"}, ErrNotSent},
		{"the old secret during a change", []string{"one"}, []string{"two", "one"}, nil},
		{"the new secret during a change", []string{"two", "one"}, []string{"one", "two"}, nil},
		{"the old secret after a change", []string{"one"}, []string{"two"}, ErrNotSent},
	}
	Convey("Calls succeed only with a secret that the listener accepts", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, address := startEchoNode(t, WithSecrets(c.listener...))
				client, _ := startEchoNode(t, WithSecrets(c.dialer...))
				reply, err := Call[message, message](t.Context(), client, address, KindCall, message{"x"})
				if c.want == nil {
					So(err, ShouldBeNil)
					So(reply.Text, ShouldEqual, "x")
				} else {
					So(err, ShouldWrap, c.want)
				}
			})
		}
	})
}

// exchangeRaw opens a connection, sends the texts and returns what is received until the connection is closed.
func exchangeRaw(t *testing.T, to netip.AddrPort, send ...string) []byte {
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	for _, text := range send {
		if _, err := conn.Write([]byte(text)); err != nil {
			break
		}
	}
	raw, err := io.ReadAll(conn)
	So(err, ShouldNotHaveSameTypeAs, &net.OpError{Op: "read", Err: context.DeadlineExceeded})
	return raw
}

func TestUnauthenticatedConnectionsAreClosed(t *testing.T) {
	// Connections to the peer port that speak another protocol, send a frame in place of the proof, or
	// don't complete the handshake must be closed without affecting peers.
	_, address := startEchoNode(t, WithSecrets("one"))
	_, shortTimeout := startEchoNode(t, WithSecrets("one"), func(n *Node) { n.handshakeTimeout = defaultHandshakeTimeout })
	forged := frame{form: formRequest, kind: KindCall, id: 1, payload: []byte("\x81\xa4text\xa1x")}
	cases := []struct {
		name      string
		to        netip.AddrPort
		send      []string
		wantBytes int
	}{
		{"another protocol", address, []string{"GET / HTTP/1.1\r\n\r\n"}, 0},
		{"an older preamble", address, []string{"fxh1"}, 0},
		{"a frame in place of the proof", address, []string{preamble + string(newNonce()), string(forged.encode()), string(make([]byte, proofSize))}, nonceSize},
		{"no bytes", shortTimeout, nil, 0},
		{"a preamble without a nonce", shortTimeout, []string{preamble}, 0},
	}
	Convey("The connection is closed and nothing is executed", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(len(exchangeRaw(t, c.to, c.send...)), ShouldEqual, c.wantBytes) })
		}
		Convey("a peer is still served", func() {
			client, _ := startEchoNode(t, WithSecrets("one"))
			_, err := Call[message, message](t.Context(), client, address, KindCall, message{"x"})
			So(err, ShouldBeNil)
		})
	})
}

func FuzzGreeting(f *testing.F) {
	f.Add([]byte(preamble+"0123456789abcdef"), 3)
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), 1)
	f.Add(make([]byte, 200), 7)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		step = min(max(step, 1), max(len(stream), 1))
		h := listenerHandshake{secrets: []string{"one"}}
		for offset := 0; offset < len(stream); offset += step {
			_, err := h.feed(stream[offset:min(offset+step, len(stream))], func([]byte) {})
			if h.done {
				t.Fatal("handshake completed without a valid proof")
			}
			if len(h.buffer) > helloSize+proofSize {
				t.Fatalf("%d bytes buffered, want at most the handshake's", len(h.buffer))
			}
			if err != nil {
				return
			}
		}
	})
}
