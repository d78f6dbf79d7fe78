package peer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// dialing is a connection being opened; link and err are set before done is closed.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

// dial returns the open link for messages of a kind to a peer, opening one if
// there is none; the error is ErrNotSent, also when the context ends first.
//
// Hundreds of requests may need the same link when it has just been lost. If each
// dialed, the handshakes would keep the other side so busy that some would
// time out, and requests would be refused though the peer can be reached; so
// concurrent requests share one dial. Dialing an unreachable host may take longer than
// a request can wait: each request waits only for its own context, while the dial goes on.
func (n *Node) dial(ctx context.Context, to netip.AddrPort, k Kind) (*link, error) {
	key := linkKeyOf(to, k)
	n.mu.Lock()
	if l, ok := n.links[key]; ok {
		n.mu.Unlock()
		l.lastUsed.setNow()
		return l, nil
	}
	d, ok := n.dials[key]
	if !ok {
		d = &dialing{done: make(chan struct{})}
		n.dials[key] = d
		go n.completeDial(key, d)
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", to, ctx.Err())
	}
}

// completeDial opens the link and wakes the requests that wait for it.
func (n *Node) completeDial(key linkKey, d *dialing) {
	d.link, d.err = n.open(key)
	n.mu.Lock()
	delete(n.dials, key)
	n.mu.Unlock()
	close(d.done)
}

// open opens a link, after closing an idle one if there are too many.
func (n *Node) open(key linkKey) (*link, error) {
	if n.isStopped() {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", key.to, errStopped)
	}
	n.enforceMaxLinks()
	c, err := n.connect(key.to)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", key.to)
	}
	return n.addDialed(key, c)
}

// connect dials from the node's own address, so that a host with several addresses uses the one that its peers know; the error is
// ErrNotSent.
func (n *Node) connect(to netip.AddrPort) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: n.dialTimeout, LocalAddr: localAddr(n.address.Addr()), KeepAliveConfig: keepAlive}
	c, err := dialer.Dial("tcp", to.String())
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	if err := dialerHandshake(c, n.secrets[0], n.dialTimeout); err != nil {
		_ = c.Close()
		return nil, errors.Wrapf(handshakeFault(err), "%v", err)
	}
	nonblocking, err := nbio.NBConn(c)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	return nonblocking, nil
}

// handshakeFault returns ErrNoHandshake if the handshake ran out of time, and ErrNotSent if it failed for another reason.
func handshakeFault(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrNoHandshake
	}
	return ErrNotSent
}

// keepAlive detects dead connections while they are idle, before a request is sent on them.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// localAddr returns the local address for connections from the IP address; nil lets the system choose.
func localAddr(ip netip.Addr) net.Addr {
	if !ip.IsValid() || ip.IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
}

// addDialed adds a newly dialed connection to the poller and makes it the link for its key.
func (n *Node) addDialed(key linkKey, c *nbio.Conn) (*link, error) {
	l := n.linkOf(c)
	l.handshake.done = true
	if err := n.addToEngine(c); err != nil {
		_ = c.Close()
		n.handleClose(c, err)
		return nil, errors.Wrapf(ErrNotSent, "add connection to %s to the poller: %v", key.to, err)
	}
	l.announce()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[c] != l {
		return nil, errors.Wrapf(ErrNotSent, "connection to %s closed after dialing", key.to)
	}
	l.key = key
	l.lastUsed.setNow()
	n.links[key] = l
	return l, nil
}

// addToEngine adds a dialed connection to the event loops. Loops that end would leave it open, or have a request sent whose response nobody reads.
func (n *Node) addToEngine(c *nbio.Conn) error {
	n.adding.RLock()
	defer n.adding.RUnlock()
	if n.isStopped() {
		return errStopped
	}
	_, err := n.engine.AddConn(c)
	return err
}
