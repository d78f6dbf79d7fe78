package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/loops"
)

// ErrNotSent means that no byte of the message left this process, so the peer can't have acted on it.
var ErrNotSent = errors.New("peer: not sent")

// ErrLost means that the message was sent and no answer came back; the peer may have acted on it.
var ErrLost = errors.New("peer: answer lost")

// Logger receives one line for each connection that is closed for a fault.
type Logger func(from netip.AddrPort, err error)

// Node is one daemon's end of the peer network.
type Node struct {
	engine   *loops.Engine
	address  netip.AddrPort
	maxFrame int
	dialTime time.Duration
	logger   Logger
	handlers map[Kind]handler

	sent     atomic.Uint64
	received atomic.Uint64

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	all   map[*nbio.Conn]*link
}

type handler func(ctx context.Context, from netip.AddrPort, payload []byte) ([]byte, error)

// Option sets one property of a node.
type Option func(*Node)

const (
	defaultMaxFrame = 80 << 20
	defaultDialTime = 500 * time.Millisecond
)

// WithMaxFrame bounds the size of one frame in bytes.
func WithMaxFrame(bytes int) Option { return func(n *Node) { n.maxFrame = bytes } }

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(n *Node) { n.dialTime = d } }

// WithLogger sets who hears of faulty connections.
func WithLogger(l Logger) Option { return func(n *Node) { n.logger = l } }

// New returns a node that will listen on the address; handlers are added before Start.
func New(address netip.AddrPort, opts ...Option) *Node {
	n := &Node{
		address:  address,
		maxFrame: defaultMaxFrame,
		dialTime: defaultDialTime,
		logger:   func(netip.AddrPort, error) {},
		handlers: map[Kind]handler{},
		links:    map[netip.AddrPort]*link{},
		all:      map[*nbio.Conn]*link{},
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
	return errors.Wrapf(n.engine.Start(), "peer: listen on %s", n.address)
}

// pollers is the number of event loops: frames are small, handlers run elsewhere.
const pollers = 2

// Stop closes all connections and the listener.
func (n *Node) Stop() { n.engine.Stop() }

// Traffic returns the bytes sent and received since the start.
func (n *Node) Traffic() (sent, received uint64) { return n.sent.Load(), n.received.Load() }

// Connections returns the number of open connections.
func (n *Node) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.all)
}

func (n *Node) opened(c *nbio.Conn) {
	n.linkOf(c)
}

// linkOf returns the connection's link, making it on first sight: data may be
// handled before a dialer has its connection back.
func (n *Node) linkOf(c *nbio.Conn) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.all[c]
	if !ok {
		l = newLink(n, c)
		n.all[c] = l
	}
	return l
}

func (n *Node) data(c *nbio.Conn, data []byte) {
	n.received.Add(uint64(len(data)))
	l := n.linkOf(c)
	if err := l.reader.feed(data, l.take); err != nil {
		n.logger(l.remote, err)
		_ = c.CloseWithError(err)
	}
}

func (n *Node) closed(c *nbio.Conn, _ error) {
	n.mu.Lock()
	l := n.all[c]
	delete(n.all, c)
	if l != nil && n.links[l.dialed] == l {
		delete(n.links, l.dialed)
	}
	n.mu.Unlock()
	if l != nil {
		l.fail()
	}
}

// dial returns the open link to a peer, opening one if there is none.
func (n *Node) dial(to netip.AddrPort) (*link, error) {
	n.mu.Lock()
	l, ok := n.links[to]
	n.mu.Unlock()
	if ok {
		return l, nil
	}
	c, err := n.connect(to)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", to, err)
	}
	return n.adopt(to, c)
}

// connect dials from the node's own address, so that a host with several speaks with the one its peers know.
func (n *Node) connect(to netip.AddrPort) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: n.dialTime, LocalAddr: source(n.address.Addr())}
	c, err := dialer.Dial("tcp", to.String())
	if err != nil {
		return nil, err
	}
	return nbio.NBConn(c)
}

// source returns the local end for connections from the address, nil for any.
func source(a netip.Addr) net.Addr {
	if !a.IsValid() || a.IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
}

// adopt makes a freshly dialed connection the link to a peer; of two dialed at once one stays.
// The preamble goes out before others can write on the link.
func (n *Node) adopt(to netip.AddrPort, c *nbio.Conn) (*link, error) {
	if _, err := n.engine.AddConn(c); err != nil {
		return nil, errors.Wrapf(ErrNotSent, "add %s: %v", to, err)
	}
	l := n.linkOf(c)
	l.reader.greeted = true
	if err := l.write([]byte(preamble)); err != nil {
		return nil, errors.Wrapf(ErrNotSent, "greet %s: %v", to, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if other, ok := n.links[to]; ok {
		_ = c.Close()
		return other, nil
	}
	if n.all[c] != l {
		return nil, errors.Wrapf(ErrNotSent, "connection to %s closed", to)
	}
	l.dialed = to
	n.links[to] = l
	return l, nil
}
