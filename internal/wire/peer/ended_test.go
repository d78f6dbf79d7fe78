package peer

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// endedPair is two nodes; the server's handlers respond "done" on release, and "ended" if their context ends before.
type endedPair struct {
	client, server *Node
	stop           map[*Node]func()
	begun          sync.WaitGroup
	release        chan struct{}
}

func startEndedPair(t *testing.T, calls int) *endedPair {
	p := &endedPair{stop: map[*Node]func(){}, release: make(chan struct{})}
	p.server, p.client = New(loopback.Address(), withLongTimeouts), New(loopback.Address(), withLongTimeouts)
	p.begun.Add(calls)
	Handle(p.server, KindRun, p.respond)
	for _, n := range []*Node{p.server, p.client} {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		p.stop[n] = sync.OnceFunc(n.Stop)
		t.Cleanup(p.stop[n])
	}
	return p
}

func (p *endedPair) respond(ctx context.Context, _ netip.AddrPort, m message) message {
	p.begun.Done()
	select {
	case <-p.release:
		return message{"done" + m.Text}
	case <-ctx.Done():
		return message{"ended" + m.Text}
	}
}

// breakLinks closes all connections at the node.
func breakLinks(n *Node) {
	n.mu.Lock()
	var links []*link
	for _, l := range n.conns {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Close()
	}
}

// TestReplyOfEndedHandler guards against a caller that waits and is told the word of a handler whose context ended for another reason.
func TestReplyOfEndedHandler(t *testing.T) {
	const calls = 60
	for _, c := range []struct {
		name string
		act  func(p *endedPair, leave context.CancelFunc)
		// complete means that no waiting call may fail.
		complete bool
	}{
		{"the link breaks at the handlers' node", func(p *endedPair, _ context.CancelFunc) { breakLinks(p.server) }, false},
		{"the link breaks at the callers' node", func(p *endedPair, _ context.CancelFunc) { breakLinks(p.client) }, false},
		{"the handlers' node stops", func(p *endedPair, _ context.CancelFunc) { p.stop[p.server]() }, false},
		{"the callers' node stops", func(p *endedPair, _ context.CancelFunc) { p.stop[p.client]() }, false},
		{"both nodes stop", func(p *endedPair, _ context.CancelFunc) {
			var both sync.WaitGroup
			both.Go(p.stop[p.server])
			both.Go(p.stop[p.client])
			both.Wait()
		}, false},
		{"the link is replaced", func(p *endedPair, _ context.CancelFunc) { p.client.DropLinks(p.server.address) }, true},
		{"the link counts as silent", func(p *endedPair, _ context.CancelFunc) {
			for _, l := range p.client.dialedLinks() {
				l.silentOnce.Do(func() { close(l.silent) })
				p.client.drainLink(l)
			}
		}, false},
		{"other callers leave", func(_ *endedPair, leave context.CancelFunc) { leave() }, true},
		{"other callers leave and the link is replaced", func(p *endedPair, leave context.CancelFunc) {
			leave()
			p.client.DropLinks(p.server.address)
		}, true},
	} {
		for _, padding := range []int{0, 3 * pieceSize} {
			Convey("A waiting call never gets the reply of an ended handler: "+c.name, t, func() {
				p := startEndedPair(t, calls)
				leaving, leave := context.WithCancel(t.Context())
				defer leave()
				padded := message{strings.Repeat("x", padding)}
				var all sync.WaitGroup
				type ending struct {
					leaves bool
					text   string
					err    error
				}
				endings := make(chan ending, calls)
				for i := range calls {
					all.Go(func() {
						ctx, call := t.Context(), Call[message, message]
						if i%2 == 0 {
							ctx = leaving
						}
						if i%3 == 0 && !c.complete {
							call = CallUnlessSilent[message, message]
						}
						reply, err := call(ctx, p.client, p.server.address, KindRun, padded)
						endings <- ending{i%2 == 0, strings.TrimRight(reply.Text, "x"), err}
					})
				}
				p.begun.Wait()
				var events sync.WaitGroup
				events.Go(func() { c.act(p, leave) })
				events.Go(func() { time.Sleep(time.Millisecond); close(p.release) })
				events.Wait()
				all.Wait()
				for range calls {
					got := <-endings
					if got.err == nil {
						So(got.text, ShouldEqual, "done")
					}
					if c.complete && !got.leaves {
						So(got.err, ShouldBeNil)
					}
				}
			})
		}
	}
}
