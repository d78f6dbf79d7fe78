package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id, method, target, host, key string
	body                          io.Reader
	bytes                         int
	deadline                      time.Duration
	at                            time.Time
}

// result is what the client has seen.
type result struct {
	status    int
	signature string
	body      []byte
	err       error
	// sent means that the whole request was written.
	sent bool
	took time.Duration
	// closes means that the daemon closes the connection after the answer.
	closes bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connection is a client's kept connection to its daemon.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(m *machine) (*connection, error) {
	c, err := net.DialTimeout("tcp", m.address(outboundPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, 64<<10)}, nil
}

// send writes the request and reads the whole answer.
func (c *connection) send(a *attempt) result {
	began := time.Now()
	a.at = began
	_ = c.SetDeadline(began.Add(a.deadline))
	if _, err := io.WriteString(c, a.head()); err != nil {
		return result{err: err, took: time.Since(began)}
	}
	if a.bytes > 0 {
		if _, err := io.CopyN(c, a.body, int64(a.bytes)); err != nil {
			return result{err: err, took: time.Since(began)}
		}
	}
	res := c.read(a)
	res.sent, res.took = true, time.Since(began)
	return res
}

// head returns the request's head.
func (a *attempt) head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFoxtailhook-Request-Id: %s\r\nFoxtailhook-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		a.method, a.target, a.host, a.id, a.deadline.Milliseconds(), a.key)
	if a.bytes > 0 || a.method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(a.bytes) + "\r\n"
	}
	return head + "\r\n"
}

func (c *connection) read(a *attempt) result {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, signature: response.Header.Get("Foxtailhook-Response-Signature"), body: body, err: err,
		closes: response.Close,
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// whole reports whether the answer is the instance's own whole one.
func (r *result) whole(id string) bool {
	return r.err == nil && r.status == http.StatusOK && r.signature != "" && bytes.HasPrefix(r.body, []byte(id))
}
