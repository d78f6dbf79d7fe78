package peer

import (
	"net/netip"
	"time"
)

// Drop lets new calls to a peer open connections of their own.
//
// After a network fault TCP waits ever longer before it tries a connection's
// lost bytes again, and a firewall that lost its state swallows them for good; a
// new connection gets through as soon as the network does.
func (n *Node) Drop(to netip.AddrPort) {
	for _, k := range []Kind{KindCall, KindDigest} {
		n.mu.Lock()
		l := n.links[laneOf(to, k)]
		n.mu.Unlock()
		if l != nil {
			n.replace(l)
		}
	}
}

// replace takes a link out of use and closes it when its last call has ended.
//
// Under load some call is always in flight on it. Were the link kept until there is
// none, requests would be handed into a dead connection, and answered as unknown,
// for as long as callers go on.
func (n *Node) replace(l *link) {
	n.mu.Lock()
	n.unlink(l)
	n.mu.Unlock()
	l.mu.Lock()
	l.retired = true
	over := l.over()
	l.mu.Unlock()
	if over {
		_ = l.conn.Close()
	}
}

// unlink leaves new calls to the link's peer to another link; the caller holds the node's lock.
func (n *Node) unlink(l *link) {
	if n.links[l.dialed] == l {
		delete(n.links, l.dialed)
	}
}

// over reports whether a link that was taken out of use has had its last call, and lets it take no other; the caller holds the lock.
func (l *link) over() bool {
	if !l.retired || len(l.waiting) > 0 {
		return false
	}
	l.broken = true
	return true
}

// silent reports whether nothing has come on the link since a call was sent on it, for longer than the network takes.
//
// A peer answers a call that was given up, too, as soon as it has stopped its work.
// So a call that ends on a silent link was likely swallowed with its connection,
// while the digests on the other connection to the peer go through, and nothing else tells.
// If it was only slow, the new connection costs a millisecond; there is one in each quiet time at most.
func (l *link) silent(now time.Time) bool {
	asked := l.asked.at.Load()
	return asked != 0 && now.Sub(time.Unix(0, asked)) >= l.node.quietTime
}
