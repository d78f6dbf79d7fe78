package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/loops"
)

// ErrNotSent means that the message did not leave this process whole, so the peer can't have acted on it.
var ErrNotSent = errors.New("peer: not sent")

// ErrLost means that the message was sent and no answer came back; the peer may have acted on it.
var ErrLost = errors.New("peer: answer lost")

// Logger receives one line for each connection that is closed for a fault.
type Logger func(from netip.AddrPort, err error)

// Node is one daemon's end of the peer network.
type Node struct {
	engine    *loops.Engine
	address   netip.AddrPort
	maxFrame  int
	dialTime  time.Duration
	greetTime time.Duration
	logger    Logger
	maxLinks  int
	idleTime  time.Duration
	quietTime time.Duration
	probes    Probes
	stopped   chan struct{}
	secrets   []string
	maxConns  int
	handlers  map[Kind]handler
	workers   loops.Workers

	sent     atomic.Uint64
	received atomic.Uint64
	counts   [Kinds]byteCount

	mu    sync.Mutex
	links map[lane]*link
	dials map[lane]*dialing
	all   map[*nbio.Conn]*link
}

// lane is one connection to a peer. Requests that are handed on have one of
// their own, so that large bodies on it don't hold up leases and digests.
type lane struct {
	to    netip.AddrPort
	calls bool
}

func laneOf(to netip.AddrPort, k Kind) lane {
	return lane{to: to, calls: k == KindCall || k == KindOnce || k == KindRun}
}

type handler func(ctx context.Context, from netip.AddrPort, payload []byte) ([]byte, error)

// Option sets one property of a node.
type Option func(*Node)

const (
	defaultMaxFrame = 80 << 20
	defaultDialTime = 500 * time.Millisecond
	defaultMaxConns = 8192
	// defaultQuietTime is longer than any answer takes that waits for nothing but the network, and as long as a digest may take.
	defaultQuietTime = time.Second
	// defaultGreetTime bounds how long a connection may take to prove that it is a peer's.
	defaultGreetTime = 2 * time.Second
)

// WithMaxFrame bounds the size of one frame in bytes.
func WithMaxFrame(bytes int) Option { return func(n *Node) { n.maxFrame = bytes } }

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(n *Node) { n.dialTime = d } }

// WithLogger sets who hears of faulty connections.
func WithLogger(l Logger) Option { return func(n *Node) { n.logger = l } }

// WithSecrets sets the fleet's secrets: the first is used towards others, all are accepted from them.
func WithSecrets(secrets ...string) Option {
	return func(n *Node) {
		if len(secrets) > 0 {
			n.secrets = secrets
		}
	}
}

// WithMaxConns bounds the open connections, both those of peers and those not yet proved to be.
func WithMaxConns(count int) Option { return func(n *Node) { n.maxConns = count } }

// New returns a node that will listen on the address; handlers are added before Start.
func New(address netip.AddrPort, opts ...Option) *Node {
	n := &Node{
		address:   address,
		maxFrame:  defaultMaxFrame,
		dialTime:  defaultDialTime,
		greetTime: defaultGreetTime,
		maxLinks:  defaultMaxLinks,
		idleTime:  defaultIdleTime,
		quietTime: defaultQuietTime,
		stopped:   make(chan struct{}),
		logger:    func(netip.AddrPort, error) {},
		secrets:   []string{noSecret},
		maxConns:  defaultMaxConns,
		handlers:  map[Kind]handler{},
		links:     map[lane]*link{},
		dials:     map[lane]*dialing{},
		all:       map[*nbio.Conn]*link{},
	}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Start listens and serves until Stop.
func (n *Node) Start() error {
	config := nbio.Config{Name: "peer", Network: "tcp", Addrs: []string{n.address.String()}, NPoller: pollers}
	n.engine = loops.New(config, loops.Handlers{Open: n.opened, Data: n.data, Close: n.closed})
	n.engine.OnWrittenSize(written)
	if err := n.engine.Start(); err != nil {
		return errors.Wrapf(err, "peer: listen on %s", n.address)
	}
	go n.sweep()
	if n.probes.Limit > 0 {
		go n.probe()
	}
	return nil
}

// pollers is the number of event loops: frames are small, handlers run elsewhere.
const pollers = 2

// Stop closes all connections and the listener.
func (n *Node) Stop() {
	close(n.stopped)
	n.engine.Stop()
	n.workers.Close()
}

// Traffic returns the bytes sent and received since the start.
func (n *Node) Traffic() Traffic {
	t := Traffic{Bytes: Bytes{Sent: n.sent.Load(), Received: n.received.Load()}}
	for k := range t.ByKind {
		t.ByKind[k] = Bytes{Sent: n.counts[k].sent.Load(), Received: n.counts[k].received.Load()}
	}
	return t
}

// Connections returns the number of open connections.
func (n *Node) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.all)
}

// opened takes a connection from outside; a flood of them is bounded in number
// and, until they have proved to be peers, in time.
func (n *Node) opened(c *nbio.Conn) {
	if n.linkOf(c).greet.done {
		return
	}
	if n.Connections() > n.maxConns {
		_ = c.CloseWithError(errTooMany)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(n.greetTime))
}

var errTooMany = errors.New("peer: too many connections")

// written hears of what went to the kernel; it runs under the connection's lock.
func written(c *nbio.Conn, _ []byte, bytes int) {
	if l, ok := c.Session().(*link); ok {
		l.wrote(bytes)
	}
}

// linkOf returns the connection's link, making it on first sight. A connection
// that was dialed has one before the poller knows it, and has its handshake behind it.
func (n *Node) linkOf(c *nbio.Conn) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.all[c]
	if !ok {
		l = newLink(n, c)
		n.all[c] = l
		c.SetSession(l)
	}
	return l
}

func (n *Node) data(c *nbio.Conn, data []byte) {
	n.received.Add(uint64(len(data)))
	l := n.linkOf(c)
	if err := l.data(data); err != nil {
		n.logger(l.remote, err)
		_ = c.CloseWithError(err)
	}
	loops.Yield()
}

func (n *Node) closed(c *nbio.Conn, _ error) {
	n.mu.Lock()
	l := n.all[c]
	delete(n.all, c)
	if l != nil {
		n.unlink(l)
	}
	n.mu.Unlock()
	if l != nil {
		l.fail()
	}
}
