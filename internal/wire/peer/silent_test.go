package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// network stands between two nodes; it can swallow what is sent on the connections open so far.
type network struct {
	opened atomic.Int64
	dead   atomic.Int64
}

// between starts a network in front of a node and returns its address.
func between(t *testing.T, to netip.AddrPort) (*network, netip.AddrPort) {
	at := loopback.Address()
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w := &network{}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to.String())
			if err != nil {
				return
			}
			number := w.opened.Add(1)
			go w.copy(near, far, number)
			go w.copy(far, near, number)
		}
	}()
	return w, at
}

// die swallows what comes on the connections open so far; nobody closes them.
func (w *network) die() { w.dead.Store(w.opened.Load()) }

func (w *network) copy(to, from net.Conn, number int64) {
	_, err := io.Copy(writerFunc(func(p []byte) (int, error) {
		if number <= w.dead.Load() {
			return len(p), nil
		}
		return to.Write(p)
	}), from)
	if err != nil || number > w.dead.Load() {
		_ = to.Close()
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func TestDroppedLinkInUse(t *testing.T) {
	// A switch dies and the connections over it stay open. The digest to the host is lost,
	// but some request or other always waits for its answer on the same connection. Were it
	// kept for them, every notice would be handed into the hole, and go on being so after the switch was replaced.
	Convey("A dropped link takes no new calls, those in flight end on it, and then it is closed", t, func() {
		begun, release := make(chan struct{}), make(chan struct{})
		client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, q question) question {
			if q.Text == "slow" {
				close(begun)
				<-release
			}
			return q
		})
		wire, at := between(t, server)
		ended := make(chan error, 1)
		go func() {
			_, err := Call[question, question](t.Context(), client, at, KindCall, question{"slow"})
			ended <- err
		}()
		<-begun
		client.Drop(at)
		_, err := Call[question, question](t.Context(), client, at, KindCall, question{"next"})
		So(err, ShouldBeNil)
		So(wire.opened.Load(), ShouldEqual, 2)
		close(release)
		So(<-ended, ShouldBeNil)
		So(eventually(func() bool { return client.Connections() == 1 }), ShouldBeTrue)
	})
}

func TestSilentLinkIsReplaced(t *testing.T) {
	// A firewall loses its state: one connection is dead, which no one closes, and the digests on another go through. A
	// host that looks well would get every notice over the dead one, and each would be answered as unknown.
	Convey("A link on which a call ended without an answer, and nothing else was heard, takes no new calls", t, func() {
		client, server := startPair(t, echo)
		client.quietTime = 0
		wire, at := between(t, server)
		_, err := Call[question, question](t.Context(), client, at, KindCall, question{"before"})
		So(err, ShouldBeNil)
		wire.die()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = Call[question, question](ctx, client, at, KindCall, question{"lost"})
		So(err, ShouldEqual, context.DeadlineExceeded)
		ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err = Call[question, question](ctx, client, at, KindCall, question{"after"})
		So(err, ShouldBeNil)
		So(wire.opened.Load(), ShouldEqual, 2)
	})
	Convey("A link on which others are answered meanwhile stays", t, func() {
		begun := make(chan struct{})
		client, server := startPair(t, func(ctx context.Context, _ netip.AddrPort, q question) question {
			if q.Text == "slow" {
				close(begun)
				<-ctx.Done()
			}
			return q
		})
		client.quietTime = 0
		wire, at := between(t, server)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := Call[question, question](ctx, client, at, KindCall, question{"slow"})
			ended <- err
		}()
		<-begun
		for range 3 {
			_, err := Call[question, question](t.Context(), client, at, KindCall, question{"quick"})
			So(err, ShouldBeNil)
		}
		cancel()
		So(<-ended, ShouldEqual, context.Canceled)
		_, err := Call[question, question](t.Context(), client, at, KindCall, question{"quick"})
		So(err, ShouldBeNil)
		So(wire.opened.Load(), ShouldEqual, 1)
	})
}
