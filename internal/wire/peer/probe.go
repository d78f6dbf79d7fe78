package peer

import (
	"context"
	"net/netip"
	"time"
)

// Probes are how a node finds links that have gone silent while calls wait on them.
//
// A host is suspended, or a network box forgets its connections: what is sent goes nowhere, nobody closes anything, and a
// lookup waits for an answer until its time is up though another host could give it. A link on
// which calls wait and nothing is heard is asked for a sign of life, which a peer gives at once, however long its calls take.
type Probes struct {
	// After is how long nothing was heard when a sign of life is asked for.
	After time.Duration
	// Limit is how long nothing was heard when the link is given up.
	Limit time.Duration
}

// probeLooks is how often links are looked at within Probes.After.
const probeLooks = 2

// WithProbes makes the node look for silent links; without, it finds them when a call on them has run out of time.
func WithProbes(p Probes) Option {
	return func(n *Node) {
		n.probes = p
		Handle(n, KindProbe, func(context.Context, netip.AddrPort, struct{}) struct{} { return struct{}{} })
	}
}

// probe looks at the links until the node stops.
func (n *Node) probe() {
	ticker := time.NewTicker(n.probes.After / probeLooks)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopped:
			return
		case now := <-ticker.C:
			for _, l := range n.dialedLinks() {
				n.look(l, now)
			}
		}
	}
}

func (n *Node) dialedLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		all = append(all, l)
	}
	return all
}

func (n *Node) look(l *link, now time.Time) {
	switch quiet := l.quiet(now); {
	case quiet >= n.probes.Limit:
		l.silence.Do(func() { close(l.silenced) })
		n.replace(l)
	case quiet >= n.probes.After:
		payload, err := encode(struct{}{})
		if err != nil {
			return
		}
		// The answer's id is nobody's: that it comes is all that counts.
		ask := frame{form: formRequest, kind: KindProbe, payload: payload}
		_, _ = l.write(ask.encode(), nil)
	}
}

// quiet is how long calls have waited on the link without anything being heard on it; 0 while none waits.
func (l *link) quiet(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return 0
	}
	since := max(l.heard.at.Load(), l.waits.at.Load())
	return now.Sub(time.Unix(0, since))
}
