package instance

import (
	"sync"
	"time"
)

// pool keeps idle connections, the one used last on top.
type pool struct {
	mu       sync.Mutex
	idle     []*conn
	onceIdle time.Duration
	closed   bool
}

const (
	// mostIdle bounds the idle connections; an instance runs fewer requests at once than this.
	mostIdle = 256
	// defaultOnceIdle is how long a connection may be idle before a request that may run only once takes a new one. A
	// connection that the instance has forgotten loses the request, and nobody may send it again; a new one costs 1 ms.
	defaultOnceIdle = time.Second
	// defaultIdle is how long a connection is kept where the instance doesn't say.
	defaultIdle = 4 * time.Second
	// limitPart is the part of the idle time that the instance states within which a connection is used again; it counts
	// from its end, and the way to it and its clock take some of it.
	limitPart = 0.7
)

func newPool() pool { return pool{onceIdle: defaultOnceIdle} }

// get returns a connection that may be used for the request, or nil.
func (p *pool) get(repeatable bool, now time.Time) *conn {
	for {
		k := p.pop(repeatable, now)
		if k == nil || k.sound() {
			return k
		}
		k.close()
	}
}

func (p *pool) pop(repeatable bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	k := p.idle[last]
	if rest := now.Sub(k.idle); rest > k.usable() || !repeatable && rest > p.onceIdle {
		return nil
	}
	p.idle = p.idle[:last]
	return k
}

// usable is how long the connection may be idle and be used again.
func (k *conn) usable() time.Duration {
	if k.limit == 0 {
		return defaultIdle
	}
	return time.Duration(float64(k.limit) * limitPart)
}

func (p *pool) put(k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= mostIdle {
		k.close()
		return
	}
	p.idle = append(p.idle, k)
}

// sweep closes the connections that are too old to be used again; they lie at the bottom.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, k := range p.idle {
		if now.Sub(k.idle) > k.usable() {
			k.close()
			continue
		}
		kept = append(kept, k)
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, k := range p.idle {
		k.close()
	}
	p.idle = nil
}
