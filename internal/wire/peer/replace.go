package peer

import (
	"net/netip"
	"time"
)

// DropLinks takes the links to a peer out of use, so that new calls dial new connections.
//
// After a network fault, TCP retransmits with growing delays, and a firewall
// that lost its state discards the segments for good; a
// new connection works as soon as the network does.
func (n *Node) DropLinks(to netip.AddrPort) {
	for _, k := range []Kind{KindCall, KindDigest} {
		n.mu.Lock()
		l := n.links[linkKeyOf(to, k)]
		n.mu.Unlock()
		if l != nil {
			n.drainLink(l)
		}
	}
}

// drainLink takes a link out of use and closes it when its last call has ended.
//
// Under load some call is always in flight on a link. If new calls used it until
// there were none, requests would be sent into a dead connection, with an unknown
// outcome, for as long as callers go on.
func (n *Node) drainLink(l *link) {
	n.mu.Lock()
	n.removeLink(l)
	n.mu.Unlock()
	l.mu.Lock()
	l.retired = true
	drained := l.breakIfDrained()
	l.mu.Unlock()
	if drained {
		_ = l.conn.Close()
	}
}

// removeLink removes a link from those that new calls use; the caller holds the node's lock.
func (n *Node) removeLink(l *link) {
	if n.links[l.key] == l {
		delete(n.links, l.key)
	}
}

// breakIfDrained marks a retired link as broken if it has no pending calls and reports whether it did; the caller holds the link's lock.
func (l *link) breakIfDrained() bool {
	if !l.retired || len(l.pendingCalls) > 0 {
		return false
	}
	l.broken = true
	return true
}

// isUnresponsive reports whether nothing has been received on the link for silenceTimeout since a call was sent on it.
//
// A peer responds to a cancelled call, too, as soon as its handler has stopped.
// So if a call ends without a response on an unresponsive link, the connection is probably dead, and
// nothing else shows it: the digests on the other connection to the peer may still get through.
// If the call was only slow, the new connection costs a millisecond, at most once in each silenceTimeout.
func (l *link) isUnresponsive(now time.Time) bool {
	unansweredSince := l.unansweredSince.unixNano.Load()
	return unansweredSince != 0 && now.Sub(time.Unix(0, unansweredSince)) >= l.node.silenceTimeout
}
