package responsehead

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// Conn is a connection to a server, with a check of the heads of its responses: a read that meets one that is malformed fails.
type Conn struct {
	net.Conn

	// account counts the memory of heads, unless it is nil.
	account *bounded.Account

	mu        sync.Mutex
	scanner   Scanner
	memory    Memory
	expecting bool
}

// NewConn returns the connection with the check. The memory of a large head is held in the account, unless that is nil, until it is taken over, the next
// response is expected or the connection ends.
func NewConn(c net.Conn, account *bounded.Account) *Conn {
	return &Conn{Conn: c, account: account, memory: NewMemory(account)}
}

// Dial returns the dial function with the check of what its connections receive. It needs the context that WithTrace returns.
func Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, nil), nil
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
	c.memory.Hold().Release()
	c.scanner, c.memory, c.expecting = Scanner{}, NewMemory(c.account), true
}

// TakeHold takes over the memory that is held for the head of the last response, nil if none is.
func (c *Conn) TakeHold() *bounded.Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.take()
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Hold().Release()
	c.expecting = false
	return err
}

// Read reads from the connection. The error is ErrMalformed if the bytes aren't the head of a response where one is expected, or ErrTooManyFields or
// ErrNoRoom.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if fault := c.check(p[:n]); fault != nil {
		_ = c.Close()
		return 0, fault
	}
	return n, err
}

// check checks the bytes of a final response's head, and of the interim ones before it.
func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.expecting && len(p) > 0 {
		fields := c.scanner.Fields()
		n, ended, err := c.scanner.Scan(p)
		if err == nil {
			err = c.memory.Add(n, c.scanner.Fields()-fields)
		}
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
