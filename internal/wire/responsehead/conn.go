package responsehead

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Conn is a connection to a server, with a check of the heads of its responses: a read that meets one that is malformed fails.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	scanner   Scanner
	expecting bool
}

// NewConn returns the connection with the check.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial returns the dial function with the check of what its connections receive. It needs the context that WithTrace returns.
func Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// WithTrace returns a context for a request whose response is checked if its connection is one of Dial's.
func WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Expect()
		}
	}})
}

// Expect makes the next bytes that are read the head of a response. It must be called before a request is written.
func (c *Conn) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner, c.expecting = Scanner{}, true
}

// Read reads from the connection. The error is ErrMalformed if the bytes aren't the head of a response where one is expected.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		_ = c.Close()
		return 0, malformed
	}
	return n, err
}

// check checks the bytes of a final response's head, and of the interim ones before it.
func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.expecting && len(p) > 0 {
		n, ended, err := c.scanner.Scan(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if ended {
			c.expecting = c.scanner.IsInterim()
			c.scanner = Scanner{}
		}
	}
	return nil
}
