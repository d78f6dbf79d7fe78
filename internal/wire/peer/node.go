package peer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/loops"
)

// ErrNotSent means that the message was not sent whole, so the peer can't have acted on it.
var ErrNotSent = errors.New("peer: not sent")

// ErrNoHandshake is an ErrNotSent: the peer accepted the connection but did not finish the handshake in time.
var ErrNoHandshake = errors.WithMessage(ErrNotSent, "peer: no handshake")

// ErrLost means that the message was sent and no response arrived; the peer may have acted on it.
var ErrLost = errors.New("peer: response lost")

// Logger receives the error of each connection that is closed because of a fault.
type Logger func(from netip.AddrPort, err error)

// Node is one daemon's endpoint in the peer network: it listens, and dials other nodes.
type Node struct {
	engine           *loops.Engine
	address          netip.AddrPort
	maxFrame         int
	dialTimeout      time.Duration
	handshakeTimeout time.Duration
	logger           Logger
	maxLinks         int
	idleTimeout      time.Duration
	silenceTimeout   time.Duration
	probes           Probes
	stopped          chan struct{}
	// adding is held for reading while a dialed connection is added to the engine, so that none is added once stopped is closed.
	adding   sync.RWMutex
	secrets  []string
	maxConns int
	handlers map[Kind]handler
	// announced has the layouts of the messages that handlers take and return; nil encodes all messages by name.
	announced announcement
	placeOf   func(netip.Addr) Place
	workers   loops.Workers
	// account counts the memory of messages.
	account       *bounded.Account
	withoutOffers bool

	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
	bytesByKind   [Kinds][Places]byteCounter

	mu    sync.Mutex
	links map[linkKey]*link
	dials map[linkKey]*dialing
	conns map[*nbio.Conn]*link
}

// linkKey identifies one of the two connections to a peer. Forwarded requests have
// their own, so that their large bodies don't delay leases and digests.
type linkKey struct {
	to         netip.AddrPort
	forwarding bool
}

func linkKeyOf(to netip.AddrPort, k Kind) linkKey {
	return linkKey{to: to, forwarding: isForwarding(k)}
}

// handler responds to a frame that was received on a link.
type handler func(ctx context.Context, l *link, f frame) (frame, error)

// Option configures a node.
type Option func(*Node)

const (
	defaultMaxFrame    = 80 << 20
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxConns    = 8192
	// defaultSilenceTimeout is longer than any response takes that waits only for the network, and as long as a digest may take.
	defaultSilenceTimeout = time.Second
	// defaultHandshakeTimeout bounds how long an accepted connection may take for its handshake.
	defaultHandshakeTimeout = 2 * time.Second
)

// WithMaxFrame bounds the size of one frame in bytes, without its length prefix.
func WithMaxFrame(bytes int) Option { return func(n *Node) { n.maxFrame = bytes } }

// WithDialTimeout bounds the time to connect and, separately, the time for the handshake.
func WithDialTimeout(d time.Duration) Option { return func(n *Node) { n.dialTimeout = d } }

// WithLogger sets the logger for connections closed because of a fault.
func WithLogger(l Logger) Option { return func(n *Node) { n.logger = l } }

// WithSecrets sets the fleet's secrets: the first is used for dialing, all are accepted from other nodes.
func WithSecrets(secrets ...string) Option {
	return func(n *Node) {
		if len(secrets) > 0 {
			n.secrets = secrets
		}
	}
}

// WithMaxConns bounds the number of open connections, including those that have not completed the handshake.
func WithMaxConns(count int) Option { return func(n *Node) { n.maxConns = count } }

// New returns a node that will listen on the address; handlers must be added before Start.
func New(address netip.AddrPort, opts ...Option) *Node {
	n := &Node{
		address:          address,
		maxFrame:         defaultMaxFrame,
		dialTimeout:      defaultDialTimeout,
		handshakeTimeout: defaultHandshakeTimeout,
		maxLinks:         defaultMaxLinks,
		idleTimeout:      defaultIdleTimeout,
		silenceTimeout:   defaultSilenceTimeout,
		stopped:          make(chan struct{}),
		logger:           func(netip.AddrPort, error) {},
		secrets:          []string{noSecret},
		maxConns:         defaultMaxConns,
		handlers:         map[Kind]handler{},
		announced:        announcement{KindOffer: {Request: offerVersion}},
		placeOf:          func(netip.Addr) Place { return UnknownPlace },
		links:            map[linkKey]*link{},
		dials:            map[linkKey]*dialing{},
		conns:            map[*nbio.Conn]*link{},
	}
	for _, opt := range opts {
		opt(n)
	}
	if n.account == nil {
		n.account = bounded.NewAccount(bounded.LimitsOf(defaultMemory))
	}
	if n.withoutOffers {
		delete(n.announced, KindOffer)
	}
	return n
}

// Start listens and serves connections until Stop.
func (n *Node) Start() error {
	config := nbio.Config{Name: "peer", Network: "tcp", Addrs: []string{n.address.String()}, NPoller: pollerCount}
	n.engine = loops.New(config, loops.Handlers{Open: n.handleOpen, Data: n.handleData, Close: n.handleClose})
	n.engine.OnWrittenSize(handleWritten)
	if err := n.engine.Start(); err != nil {
		return errors.Wrapf(err, "peer: listen on %s", n.address)
	}
	go n.closeIdleLinks()
	if n.probes.Limit > 0 {
		go n.probeLinks()
	}
	return nil
}

// pollerCount is the number of event loops; two suffice, since frames are small and handlers run on other goroutines.
const pollerCount = 2

// Stop closes all connections and the listener.
//
// The engine closes the connections that it has when it begins to stop, and then waits for all. One that was being accepted at that moment would
// keep it waiting, so those that are left are closed until it is done.
func (n *Node) Stop() {
	n.refuseDials()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.engine.Stop()
	}()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for stopping := true; stopping; {
		select {
		case <-done:
			stopping = false
		case <-ticker.C:
			n.closeConns()
		}
	}
	n.workers.Close()
}

// stopPollInterval is how often connections that are left are closed while the engine stops.
const stopPollInterval = 20 * time.Millisecond

var errStopped = errors.New("peer: stopped")

func (n *Node) refuseDials() {
	n.adding.Lock()
	defer n.adding.Unlock()
	close(n.stopped)
}

func (n *Node) isStopped() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

func (n *Node) closeConns() {
	n.mu.Lock()
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Traffic returns the bytes sent and received since the start.
func (n *Node) Traffic() Traffic {
	t := Traffic{Bytes: Bytes{Sent: n.bytesSent.Load(), Received: n.bytesReceived.Load()}}
	for k := range t.ByKind {
		for p := range Places {
			bytes := n.bytesByKind[k][p].load()
			t.ByPlace[k][p] = bytes
			t.ByKind[k].add(bytes)
		}
	}
	return t
}

// Connections returns the number of open connections.
func (n *Node) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// handleOpen limits what a flood of connections can take: it bounds their number
// and the time until their handshake is complete.
func (n *Node) handleOpen(c *nbio.Conn) {
	if n.linkOf(c).handshake.done {
		return
	}
	if n.Connections() > n.maxConns {
		_ = c.CloseWithError(errTooMany)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(n.handshakeTimeout))
}

var errTooMany = errors.New("peer: maximum number of open connections exceeded")

// handleWritten is called with the number of bytes written to the kernel, under the connection's lock.
func handleWritten(c *nbio.Conn, _ []byte, bytes int) {
	if l, ok := c.Session().(*link); ok {
		l.addWritten(bytes)
	}
}

// linkOf returns the connection's link, creating it on the first call. A dialed
// connection has one, with a complete handshake, before it is added to the poller.
func (n *Node) linkOf(c *nbio.Conn) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.conns[c]
	if !ok {
		l = newLink(n, c)
		n.conns[c] = l
		c.SetSession(l)
	}
	return l
}

func (n *Node) handleData(c *nbio.Conn, data []byte) {
	n.bytesReceived.Add(uint64(len(data)))
	l := n.linkOf(c)
	if err := l.receive(data); err != nil {
		n.logger(l.remote, err)
		_ = c.CloseWithError(err)
	}
	loops.Yield()
}

func (n *Node) handleClose(c *nbio.Conn, _ error) {
	n.mu.Lock()
	l := n.conns[c]
	delete(n.conns, c)
	if l != nil {
		n.removeLink(l)
	}
	n.mu.Unlock()
	if l != nil {
		l.endCalls()
	}
}
