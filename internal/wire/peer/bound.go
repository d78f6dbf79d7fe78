package peer

import (
	"sync/atomic"
	"time"
)

const (
	defaultMaxLinks    = 256
	defaultIdleTimeout = time.Minute
	// sweepsPerIdleTimeout is how often links are checked within one idle timeout.
	sweepsPerIdleTimeout = 4
)

// WithMaxLinks bounds the number of connections that this node dials and keeps open.
func WithMaxLinks(count int) Option { return func(n *Node) { n.maxLinks = count } }

// WithIdleTimeout sets the time without a message after which a dialed connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(n *Node) { n.idleTimeout = d } }

// timestamp is a time in nanoseconds that several goroutines may read and set; 0 means unset.
type timestamp struct{ unixNano atomic.Int64 }

func (t *timestamp) setNow() { t.unixNano.Store(time.Now().UnixNano()) }

// setNowIfZero sets the current time unless a time is set already.
func (t *timestamp) setNowIfZero() {
	if t.unixNano.Load() == 0 {
		t.setNow()
	}
}

func (t *timestamp) clear() {
	if t.unixNano.Load() != 0 {
		t.unixNano.Store(0)
	}
}

func (t *timestamp) elapsed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.unixNano.Load())
}

// closeIdleLinks periodically closes idle links until the node stops.
//
// A daemon talks to a few hosts all the time and to any other host occasionally,
// as callers' requests are placed. If idle links were kept, each of 3,400 daemons would end up
// with 3,400 of them, whose buffers would take more than all the memory that a daemon may use for control.
func (n *Node) closeIdleLinks() {
	ticker := time.NewTicker(n.idleTimeout / sweepsPerIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopped:
			return
		case now := <-ticker.C:
			for _, l := range n.idleLinks(now) {
				n.closeIfIdle(l)
			}
		}
	}
}

func (n *Node) idleLinks(now time.Time) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var idle []*link
	for _, l := range n.links {
		if l.lastUsed.elapsed(now) >= n.idleTimeout {
			idle = append(idle, l)
		}
	}
	return idle
}

// enforceMaxLinks closes the least recently used idle link if the node has maxLinks links.
//
// A link with calls in flight is never closed for this. If all links are busy, the
// bound is exceeded for a while, since a refused call would cost its caller more.
func (n *Node) enforceMaxLinks() {
	if l := n.leastRecentlyUsed(); l != nil {
		n.closeIfIdle(l)
	}
}

func (n *Node) leastRecentlyUsed() *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.links) < n.maxLinks {
		return nil
	}
	var oldest *link
	for _, l := range n.links {
		if l.isIdle() && (oldest == nil || l.lastUsed.unixNano.Load() < oldest.lastUsed.unixNano.Load()) {
			oldest = l
		}
	}
	return oldest
}

// closeIfIdle closes a link unless a call is in flight on it. Only the side that
// dialed a link sends calls on it, so no request of the other side is interrupted.
func (n *Node) closeIfIdle(l *link) {
	l.mu.Lock()
	busy := len(l.pendingCalls) > 0
	if !busy {
		l.broken, l.retired = true, true
	}
	l.mu.Unlock()
	if busy {
		return
	}
	n.mu.Lock()
	n.removeLink(l)
	n.mu.Unlock()
	_ = l.conn.Close()
}

// wasRetired reports whether this node took the link out of use, rather than it having failed.
func (l *link) wasRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}

func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pendingCalls) == 0
}
