package peer

import (
	"context"
	"net/netip"
	"time"
)

// Probes configures how a node detects links on which calls wait but nothing is received.
//
// When a host is suspended, or a firewall loses its connection state, what is sent is lost without the connection being
// closed, and a call waits until its deadline though another host could respond. On a link on which calls wait and nothing
// is received, the node sends a probe, to which a peer responds at once, however long its calls take.
type Probes struct {
	// After is the silence after which probes are sent.
	After time.Duration
	// Limit is the silence after which the link is taken out of use.
	Limit time.Duration
}

// probeChecksPerAfter is how often links are checked within Probes.After.
const probeChecksPerAfter = 2

// WithProbes enables probes; without them, a silent link is detected only when the context of a call on it ends.
func WithProbes(p Probes) Option {
	return func(n *Node) {
		n.probes = p
		Handle(n, KindProbe, func(context.Context, netip.AddrPort, struct{}) struct{} { return struct{}{} })
	}
}

// probeLinks periodically checks the links until the node stops.
func (n *Node) probeLinks() {
	ticker := time.NewTicker(n.probes.After / probeChecksPerAfter)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopped:
			return
		case now := <-ticker.C:
			for _, l := range n.dialedLinks() {
				n.checkSilence(l, now)
			}
		}
	}
}

func (n *Node) dialedLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	return links
}

func (n *Node) checkSilence(l *link, now time.Time) {
	switch silentFor := l.silentFor(now); {
	case silentFor >= n.probes.Limit:
		l.silentOnce.Do(func() { close(l.silent) })
		n.drainLink(l)
	case silentFor >= n.probes.After:
		payload, err := encode(struct{}{}, byName)
		if err != nil {
			return
		}
		// No call has id 0, so the response is discarded; its arrival updates lastReceived.
		request := frame{form: formRequest, kind: KindProbe, payload: payload}
		_, _ = l.write(request.encode(), nil)
	}
}

// silentFor returns how long calls have waited on the link without anything being received; 0 while no call is pending.
func (l *link) silentFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pendingCalls) == 0 {
		return 0
	}
	since := max(l.lastReceived.unixNano.Load(), l.waitingSince.unixNano.Load())
	return now.Sub(time.Unix(0, since))
}
