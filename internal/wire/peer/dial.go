package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// dialing is a connection being opened, and its end for those who wait for it.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

// dial returns the open link for messages of a kind to a peer, opening one if
// there is none; the error is ErrNotSent, also when the context ends first.
//
// Hundreds of requests may want the same link when it has just been lost. Would each
// open one, their handshakes would keep the other side so busy that some take
// longer than they may, and requests are refused though it can be reached. And a
// host that is cut off lets a connection hang for longer than a request may wait
// for it: one that can ask elsewhere goes on, while the link is still being opened.
func (n *Node) dial(ctx context.Context, to netip.AddrPort, k Kind) (*link, error) {
	at := laneOf(to, k)
	n.mu.Lock()
	if l, ok := n.links[at]; ok {
		n.mu.Unlock()
		l.used.touch()
		return l, nil
	}
	d, ok := n.dials[at]
	if !ok {
		d = &dialing{done: make(chan struct{})}
		n.dials[at] = d
		go n.finish(at, d)
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", to, ctx.Err())
	}
}

// finish opens the link and tells those who wait for it.
func (n *Node) finish(at lane, d *dialing) {
	d.link, d.err = n.open(at)
	n.mu.Lock()
	delete(n.dials, at)
	n.mu.Unlock()
	close(d.done)
}

// open opens a link, in place of another if there are too many.
func (n *Node) open(at lane) (*link, error) {
	n.makeRoom()
	c, err := n.connect(at.to)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", at.to, err)
	}
	return n.adopt(at, c)
}

// connect dials from the node's own address, so that a host with several speaks with the one its peers know.
func (n *Node) connect(to netip.AddrPort) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: n.dialTime, LocalAddr: source(n.address.Addr()), KeepAliveConfig: keepAlive}
	c, err := dialer.Dial("tcp", to.String())
	if err != nil {
		return nil, err
	}
	if err := greet(c, n.secrets[0], n.dialTime); err != nil {
		_ = c.Close()
		return nil, err
	}
	return nbio.NBConn(c)
}

// keepAlive finds connections that nobody uses and that have gone silent, before a request is sent on them.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// source returns the local end for connections from the address, nil for any.
func source(a netip.Addr) net.Addr {
	if !a.IsValid() || a.IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
}

// adopt makes a freshly dialed connection the link of its lane.
func (n *Node) adopt(at lane, c *nbio.Conn) (*link, error) {
	l := n.linkOf(c)
	l.greet.done = true
	if _, err := n.engine.AddConn(c); err != nil {
		n.closed(c, err)
		return nil, errors.Wrapf(ErrNotSent, "add %s: %v", at.to, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.all[c] != l {
		return nil, errors.Wrapf(ErrNotSent, "connection to %s closed", at.to)
	}
	l.dialed = at
	l.used.touch()
	n.links[at] = l
	return l, nil
}
