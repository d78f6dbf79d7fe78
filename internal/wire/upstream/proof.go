package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

// errSealed is the error of a write on a connection whose request has already been reported as not run.
var errSealed = errors.New("upstream: request ended before its first byte was sent")

// countingConn counts the writes begun on a connection, to distinguish a request
// of which nothing was sent from one that may have arrived.
//
// If the upstream closes an idle connection just as a request uses it, or the
// caller hangs up while a connection is being opened, the transport's error is
// the same whether or not bytes were sent. If every such request were reported with an
// unknown outcome, callers would have to assume that it may have run though nothing was
// sent. A write is counted before it reaches the kernel, and after seal no write
// is passed on, so an unchanged count proves that nothing was sent.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write passes the bytes on unless the connection is sealed.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal reports whether no write has begun since the count was taken, and if so rejects all later writes.
func (c *countingConn) seal(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealed = true
	return true
}

// expectResponse makes the next bytes that are read the head of a response, which is checked.
func (c *countingConn) expectResponse() {
	if checked, ok := c.Conn.(*responsehead.Conn); ok {
		checked.Expect()
	}
}

func (c *countingConn) takeHeadHold() *bounded.Hold {
	checked, ok := c.Conn.(*responsehead.Conn)
	if !ok {
		return nil
	}
	return checked.TakeHold()
}

// countingDial wraps a dial function so that its connections count writes, and check the heads of responses and count their memory.
func countingDial(account *bounded.Account, dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: responsehead.NewConn(c, account)}, nil
	}
}

// sendTracker tracks whether any byte of one request may have been sent.
type sendTracker struct {
	mu          sync.Mutex
	conn        *countingConn
	countBefore uint64
	finished    bool
}

func (t *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called before the transport passes the request to the connection's writer.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	c.expectResponse()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	t.countBefore = c.writeCount()
	if t.finished {
		c.seal(t.countBefore)
	}
}

// sealUnsent reports whether no byte of the request was sent, and if so ensures that none will be.
func (t *sendTracker) sealUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	return t.conn == nil || t.conn.seal(t.countBefore)
}

// takeHeadHold takes over the memory that is held for the head of the request's response, nil if none is.
func (t *sendTracker) takeHeadHold() *bounded.Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	return t.conn.takeHeadHold()
}

// hasConn reports whether the request was assigned a connection.
func (t *sendTracker) hasConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil
}

// closeConn closes the request's connection, on which responses no longer match requests. It is sealed too, since the transport may give it to
// one more request before it notices the close; that request then certainly wasn't sent.
func (t *sendTracker) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.seal(t.conn.writeCount())
		_ = t.conn.Close()
	}
}
