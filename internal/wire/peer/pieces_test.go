package peer

import (
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// inPieces returns the encoding of a frame in pieces of the given payload size.
func inPieces(f frame, stream uint64, size int) []byte {
	out := f.appendAnnouncement(nil, stream)
	for rest := f.payload; len(rest) > 0; {
		n := min(size, len(rest))
		piece := frame{form: formPiece, id: stream, payload: rest[:n]}
		out = piece.append(out)
		rest = rest[n:]
	}
	return out
}

func TestPiecesAreReassembled(t *testing.T) {
	// The pieces of several large frames arrive interleaved, and some senders give up.
	// A piece assigned to the wrong stream would corrupt another request's body.
	rapid.Check(t, func(t *rapid.T) {
		type partlySent struct {
			frame  frame
			rest   []byte
			opened bool
		}
		var unfinished []*partlySent
		for i := range rapid.IntRange(1, 5).Draw(t, "frames") {
			payload := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "payload")
			unfinished = append(unfinished, &partlySent{frame: frame{form: formRequest, kind: KindCall, id: uint64(i + 1), payload: payload}, rest: payload})
		}
		r := frameReader{maxFrame: 1000}
		want, got := map[uint64]string{}, map[uint64]string{}
		feed := func(f frame, head []byte) {
			if err := r.feed(f.append(head), func(f frame) { got[f.id] = string(f.payload) }); err != nil {
				t.Fatal(err)
			}
		}
		for len(unfinished) > 0 {
			i := rapid.IntRange(0, len(unfinished)-1).Draw(t, "turn")
			s := unfinished[i]
			stream := 100 + s.frame.id
			if s.opened && rapid.IntRange(0, 9).Draw(t, "drops") == 0 {
				feed(frame{form: formDrop, id: stream}, nil)
				unfinished = append(unfinished[:i], unfinished[i+1:]...)
				continue
			}
			var head []byte
			if !s.opened {
				head = s.frame.appendAnnouncement(nil, stream)
				s.opened = true
			}
			n := rapid.IntRange(1, len(s.rest)).Draw(t, "size")
			feed(frame{form: formPiece, id: stream, payload: s.rest[:n]}, head)
			if s.rest = s.rest[n:]; len(s.rest) == 0 {
				want[s.frame.id] = string(s.frame.payload)
				unfinished = append(unfinished[:i], unfinished[i+1:]...)
			}
		}
		if len(got) != len(want) || r.assembler.announcedBytes != 0 || len(r.assembler.streams) != 0 {
			t.Fatalf("%d frames completed, want %d; %d bytes of %d streams are left, want none", len(got), len(want), r.assembler.announcedBytes, len(r.assembler.streams))
		}
		for id := range want {
			if got[id] != want[id] {
				t.Fatalf("frame %d has payload %q, want %q", id, got[id], want[id])
			}
		}
	})
}

func TestPiecesOutOfBounds(t *testing.T) {
	// A faulty peer announces more than the maximum frame size, or sends pieces that don't fit
	// their stream. Without the bounds it could exhaust the host's memory.
	one := frame{form: formRequest, kind: KindCall, id: 7, payload: make([]byte, 60)}
	nested := frame{form: formOpen, kind: KindCall, id: 7, payload: make([]byte, 60)}
	piece := frame{form: formPiece, id: 1, payload: []byte("x")}
	oversized := frame{form: formPiece, id: 1, payload: make([]byte, 61)}
	empty := frame{form: formPiece, id: 1}
	cases := []struct {
		name   string
		stream []byte
		want   error
	}{
		{"two streams that exceed the maximum frame size together", append(one.appendAnnouncement(nil, 1), one.appendAnnouncement(nil, 2)...), errFrameSize},
		{"a stream opened twice", append(one.appendAnnouncement(nil, 1), one.appendAnnouncement(nil, 1)...), errFrameForm},
		{"a piece of an unknown stream", piece.encode(), errFrameForm},
		{"a piece longer than the missing bytes", oversized.append(one.appendAnnouncement(nil, 1)), errFrameSize},
		{"an empty piece", empty.append(one.appendAnnouncement(nil, 1)), errFrameSize},
		{"a formOpen frame in pieces", nested.appendAnnouncement(nil, 1), errFrameForm},
		{"a large frame that is not in pieces", (&frame{form: formRequest, payload: make([]byte, pieceSize+1)}).encode(), errFrameSize},
	}
	Convey("The reader returns an error, which closes the connection", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := frameReader{maxFrame: 100}
				if len(c.stream) > pieceSize {
					r.maxFrame = 1 << 20
				}
				So(r.feed(c.stream, func(frame) {}), ShouldWrap, c.want)
			})
		}
	})
}

// pausingProxy forwards one connection to a peer, pausing after some bytes until resumed is closed.
type pausingProxy struct {
	address netip.AddrPort
	passed  atomic.Int64
	resumed chan struct{}
}

func newPausingProxy(t *testing.T, to netip.AddrPort, pauseAfter int64) *pausingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &pausingProxy{address: netip.MustParseAddrPort(l.Addr().String()), resumed: make(chan struct{})}
	go func() {
		near, err := l.Accept()
		_ = l.Close()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(near, far) }()
		p.copyUpTo(far, near, pauseAfter)
		<-p.resumed
		p.copyUpTo(far, near, math.MaxInt64)
		_ = far.Close()
	}()
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *pausingProxy) copyUpTo(to io.Writer, from io.Reader, bytes int64) {
	buffer := make([]byte, pieceSize)
	for p.passed.Load() < bytes {
		read, err := from.Read(buffer)
		if err != nil {
			return
		}
		_, _ = to.Write(buffer[:read])
		p.passed.Add(int64(read))
	}
}

// awaitPassed waits until the given number of bytes has been forwarded.
func (p *pausingProxy) awaitPassed(bytes int64) {
	for p.passed.Load() < bytes {
		time.Sleep(time.Millisecond)
	}
}

// testTimeout bounds waits that should be short, so that a test fails rather than hangs.
const testTimeout = time.Minute

func TestSmallCallIsNotDelayedByLargeCall(t *testing.T) {
	// A small request follows a 64 MB request to the same host. Sent after the whole
	// body, it would wait for the transfer though the host has free slots.
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message {
		return message{m.Text[:min(len(m.Text), 10)]}
	})
	Convey("The small call completes while most of the large one is still being sent", t, func() {
		proxy := newPausingProxy(t, server, 48<<20)
		large := strings.Repeat("l", 64<<20)
		done := make(chan error, 1)
		go func() {
			_, err := Call[message, message](t.Context(), client, proxy.address, KindCall, message{large})
			done <- err
		}()
		proxy.awaitPassed(1 << 20)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		reply, err := Call[message, message](ctx, client, proxy.address, KindCall, message{"small"})
		So(err, ShouldBeNil)
		So(reply.Text, ShouldEqual, "small")
		So(done, ShouldBeEmpty)
		close(proxy.resumed)
		So(<-done, ShouldBeNil)
	})
}

func TestConcurrentLargeCalls(t *testing.T) {
	// The pieces of several large requests and responses are interleaved on one connection.
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message { return m })
	Convey("Each call gets its own bytes back", t, func() {
		failed := make(chan string, 8)
		done := make(chan struct{}, 8)
		for i := range 8 {
			go func() {
				text := strings.Repeat(string(rune('a'+i)), (i+1)*1_500_000)
				reply, err := Call[message, message](t.Context(), client, server, KindCall, message{text})
				if err != nil || reply.Text != text {
					failed <- text[:1]
				}
				done <- struct{}{}
			}()
		}
		for range 8 {
			<-done
		}
		So(failed, ShouldBeEmpty)
	})
}

func TestLargeCallCancelledHalfway(t *testing.T) {
	// A caller hangs up while a part of its large request has been sent. If the stream were not dropped,
	// that part would hold memory at the other host, and the rest would be sent for nothing.
	ran := make(chan string, 2)
	client, server := startPair(t, func(_ context.Context, _ netip.AddrPort, m message) message {
		ran <- m.Text[:1]
		return message{"done"}
	})
	Convey("The request never runs, and the connection remains usable", t, func() {
		proxy := newPausingProxy(t, server, 2<<20)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := Call[message, message](ctx, client, proxy.address, KindCall, message{strings.Repeat("l", 64<<20)})
			done <- err
		}()
		proxy.awaitPassed(1 << 20)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
		close(proxy.resumed)
		_, err := Call[message, message](t.Context(), client, proxy.address, KindCall, message{"small"})
		So(err, ShouldBeNil)
		So(<-ran, ShouldEqual, "s")
		So(proxy.passed.Load(), ShouldBeLessThan, 64<<20)
		So(ran, ShouldBeEmpty)
	})
}
