package instance

import (
	"slices"
	"sync"
	"time"
)

// pool is a stack of idle connections, the most recently used on top.
type pool struct {
	mu                   sync.Mutex
	idle                 []*conn
	nonIdempotentMaxIdle time.Duration
	closed               bool
}

const (
	// maxIdleConns bounds the number of idle connections; an instance runs fewer requests at once than this.
	maxIdleConns = 256
	// defaultNonIdempotentMaxIdle is how long a connection may be idle before a request that is not idempotent opens a new one.
	// If the instance no longer knows the connection, the request is lost and can't be retried; a new connection costs 1 ms.
	defaultNonIdempotentMaxIdle = time.Second
	// defaultIdleTimeout is how long a connection may be idle if the instance doesn't state its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// usableFraction is the fraction of the instance's stated idle timeout within which a connection is reused. It is below 1
	// because the instance counts the time from its own end, and network delay and its clock use up some of it.
	usableFraction = 0.7
)

func newPool() pool { return pool{nonIdempotentMaxIdle: defaultNonIdempotentMaxIdle} }

// get returns an idle connection that may be used for the request, or nil.
func (p *pool) get(r *Request, now time.Time) *conn {
	for {
		cn := p.take(r, now)
		if cn == nil || cn.isOpenAndEmpty() {
			return cn
		}
		cn.close()
	}
}

// take removes and returns the topmost connection that was not idle for too long and not used for a request with the same id. Connections used
// for one stay: they serve other requests.
func (p *pool) take(r *Request, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, cn := range slices.Backward(p.idle) {
		if !p.isFresh(cn, r.Idempotent, now) {
			return nil
		}
		if !cn.used.mayInclude(r.ID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

func (p *pool) isFresh(cn *conn, idempotent bool, now time.Time) bool {
	idleFor := now.Sub(cn.idleSince)
	return idleFor <= cn.maxIdle() && (idempotent || idleFor <= p.nonIdempotentMaxIdle)
}

// maxIdle returns how long the connection may be idle and still be reused.
func (cn *conn) maxIdle() time.Duration {
	if cn.idleTimeout == 0 {
		return defaultIdleTimeout
	}
	return time.Duration(float64(cn.idleTimeout) * usableFraction)
}

func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		cn.close()
		return
	}
	p.idle = append(p.idle, cn)
}

// sweep closes the connections that have been idle for too long to be reused.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if now.Sub(cn.idleSince) > cn.maxIdle() {
			cn.close()
			continue
		}
		kept = append(kept, cn)
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cn := range p.idle {
		cn.close()
	}
	p.idle = nil
}
