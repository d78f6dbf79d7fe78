package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// slowHost is a host whose daemon serves each request, except on its first silent connections, which are accepted and never answered.
type slowHost struct {
	listener net.Listener
	daemon   netip.AddrPort
	silent   int64
	opened   atomic.Int64
	// held keeps the silent connections referenced: the garbage collector would close them.
	held []net.Conn
}

func startSlowHost(t *testing.T, silent int64) *slowHost {
	address := loopback.Address()
	node := peer.New(address)
	serve := func(context.Context, netip.AddrPort, runRequest) runResult {
		return runResult{Outcome: call.Whole, Status: http.StatusOK}
	}
	peer.Handle(node, peer.KindCall, serve)
	peer.Handle(node, peer.KindRunOnce, serve)
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	listener, err := net.Listen("tcp", loopback.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	h := &slowHost{listener: listener, daemon: address, silent: silent}
	go h.accept()
	return h
}

func (h *slowHost) accept() {
	for {
		near, err := h.listener.Accept()
		if err != nil {
			return
		}
		if h.opened.Add(1) <= h.silent {
			h.held = append(h.held, near)
			continue
		}
		far, err := net.Dial("tcp", h.daemon.String())
		if err != nil {
			return
		}
		go copyAndClose(near, far)
		go copyAndClose(far, near)
	}
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
}

func (h *slowHost) listed(name string) lists.Host {
	return lists.Host{Host: name, Service: "repairs", Zone: "a", Peer: netip.MustParseAddrPort(h.listener.Addr().String())}
}

// slowHostsDaemon returns a daemon of the service "lookup" that knows the slow hosts as those of "repairs".
func slowHostsDaemon(t *testing.T, slow ...*slowHost) *Daemon {
	d := singleHostDaemon(loopback.Address())
	d.peers = peer.New(loopback.Address())
	d.control = &control{failures: make(chan hostFailure, maxPendingFailures)}
	d.dedup = newDeduplicator(d)
	hosts := &lists.Hosts{}
	for i, h := range slow {
		hosts.Hosts = append(hosts.Hosts, h.listed([]string{"away", "other"}[i]))
	}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, hosts))
	if err := d.peers.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.peers.Stop)
	return d
}

// A ready host that is slow to finish one handshake is the only one of its service, and requests with seconds left are refused.
func TestOnlyHostIsDialedAgain(t *testing.T) {
	const always = 1 << 30
	cases := []struct {
		name    string
		silent  []int64
		key     string
		suspect bool
		timeout time.Duration
		outcome call.Outcome
		// dials is how often each host is dialed before the refusal.
		dials int64
	}{
		{"the only host is slow once", []int64{1}, "", false, time.Minute, call.Whole, 0},
		{"a key's holder is slow once", []int64{1}, "k", false, time.Minute, call.Whole, 0},
		{"the only host never answers", []int64{always}, "", false, time.Minute, call.NotRun, 3},
		{"a key's holder never answers", []int64{always}, "k", false, time.Minute, call.NotRun, 3},
		{"the only host is a suspect", []int64{always}, "", true, time.Minute, call.NotRun, 1},
		{"no time is left to dial again", []int64{always}, "", false, time.Second, call.NotRun, 1},
		{"another host is left", []int64{always, always}, "", false, time.Minute, call.NotRun, 1},
	}
	for _, c := range cases {
		Convey("When "+c.name, t, func() {
			var hosts []*slowHost
			for _, silent := range c.silent {
				hosts = append(hosts, startSlowHost(t, silent))
			}
			d := slowHostsDaemon(t, hosts...)
			if c.suspect {
				d.members.Store(suspectView(d, time.Now()))
			}
			a := admittedRequest{account: budget.New(8), request: call.Request{
				Organisation: "dealer", Operation: "repairs.notes", Service: "repairs", Method: http.MethodPost, Path: "/notes",
				IdempotencyKey: c.key, Budget: 8, Deadline: time.Now().Add(c.timeout),
			}}
			answer := d.dedup.route(context.Background(), a)
			So(answer.Outcome, ShouldEqual, c.outcome)
			if c.outcome == call.Whole {
				return
			}
			So(answer.Reason, ShouldEqual, call.NoUpstream)
			So(answer.BudgetLeft, ShouldEqual, 8)
			for _, h := range hosts {
				So(h.opened.Load(), ShouldEqual, c.dials)
			}
		})
	}
}
