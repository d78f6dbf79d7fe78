package peer

import (
	"sync/atomic"
	"time"
)

const (
	defaultMaxLinks = 256
	defaultIdleTime = time.Minute
	// sweepsPerIdle is how often idle links are looked for within one idle time.
	sweepsPerIdle = 4
)

// WithMaxLinks bounds the number of connections that this node opens and keeps.
func WithMaxLinks(count int) Option { return func(n *Node) { n.maxLinks = count } }

// WithIdleTime sets after how long without a message an opened connection is closed.
func WithIdleTime(d time.Duration) Option { return func(n *Node) { n.idleTime = d } }

// stamp is the time of a link's last use.
type stamp struct{ at atomic.Int64 }

func (s *stamp) touch() { s.at.Store(time.Now().UnixNano()) }

// touchFirst keeps an earlier time.
func (s *stamp) touchFirst() {
	if s.at.Load() == 0 {
		s.touch()
	}
}

func (s *stamp) clear() {
	if s.at.Load() != 0 {
		s.at.Store(0)
	}
}

func (s *stamp) idle(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.at.Load())
}

// sweep closes idle links until the node stops.
//
// A daemon speaks with a few neighbours all the time and with any other host
// now and then, as callers' requests are placed. Were links kept, each of 3,400 daemons
// would end up with 3,400 of them, and their buffers would take more than all of its control memory.
func (n *Node) sweep() {
	ticker := time.NewTicker(n.idleTime / sweepsPerIdle)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopped:
			return
		case now := <-ticker.C:
			for _, l := range n.overIdle(now) {
				n.retire(l)
			}
		}
	}
}

func (n *Node) overIdle(now time.Time) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var idle []*link
	for _, l := range n.links {
		if l.used.idle(now) >= n.idleTime {
			idle = append(idle, l)
		}
	}
	return idle
}

// makeRoom closes the least recently used link if the node has as many as it may keep.
//
// A link with calls in flight is never closed for this. Where all of them are
// busy the bound is passed for a while, since a refused call would cost its caller more.
func (n *Node) makeRoom() {
	if l := n.leastUsed(); l != nil {
		n.retire(l)
	}
}

func (n *Node) leastUsed() *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.links) < n.maxLinks {
		return nil
	}
	var least *link
	for _, l := range n.links {
		if l.isIdle() && (least == nil || l.used.at.Load() < least.used.at.Load()) {
			least = l
		}
	}
	return least
}

// retire closes a link on which no call is in flight. Only the side that
// opened a link calls on it, so no request of the other side is cut.
func (n *Node) retire(l *link) {
	l.mu.Lock()
	busy := len(l.waiting) > 0
	if !busy {
		l.broken, l.retired = true, true
	}
	l.mu.Unlock()
	if busy {
		return
	}
	n.mu.Lock()
	n.unlink(l)
	n.mu.Unlock()
	_ = l.conn.Close()
}

// wasRetired reports whether this node took the link out of use of its own accord.
func (l *link) wasRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}

func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0
}
