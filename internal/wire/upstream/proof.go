package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errSealed fails a write on a connection whose request was already answered as not run.
var errSealed = errors.New("upstream: request given up before its first byte")

// countedConn counts the writes begun on a connection, so that an error can be
// told apart from a request that may have arrived.
//
// An upstream closes an idle connection just as a request takes it, or the
// caller hangs up while a connection is being opened. The transport's error is
// the same whether or not bytes went out, and calling every such request
// unknown would tell a dispatcher that a truck may be booked when nothing was
// sent. A write is counted before the kernel sees it, and after seal no write
// passes, so a count that did not move proves that nothing was sent.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write passes the bytes on unless the connection is sealed.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal reports whether no write began since the count was taken, and if so lets none begin.
func (c *countedConn) seal(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}

func counted(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

// proof follows one request and knows whether any byte of it may have left.
type proof struct {
	mu    sync.Mutex
	conn  *countedConn
	since uint64
	over  bool
}

func (p *proof) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.got})
}

// got runs before the transport hands the request to the connection's writer.
func (p *proof) got(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	p.since = c.begun()
	if p.over {
		c.seal(p.since)
	}
}

// unsent reports whether no byte of the request was sent, and makes sure that none will be.
func (p *proof) unsent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	return p.conn == nil || p.conn.seal(p.since)
}

// connected reports whether the request got as far as having a connection.
func (p *proof) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}
