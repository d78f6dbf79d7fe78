package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to the daemon on one host, as the clients and the instance there do.
type client struct {
	record *record
	key    string
	http   *http.Client
}

// outcome is how a request of a client ended; status is 0 if its connection ended without a complete answer.
type outcome struct {
	id              string
	status          int
	signed          bool
	body            string
	sentAt, endedAt time.Time
	err             error
	retryAfter      string
	// kept means that the request was sent on a connection that had been used before.
	kept bool
}

var lastID atomic.Int64

func newClient(rec *record, key string) *client {
	return &client{record: rec, key: key, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
	}}}
}

// newFreshClient returns a client that opens a connection for each request.
func newFreshClient(rec *record, key string) *client {
	c := newClient(rec, key)
	c.http.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// send sends one request and waits for its answer until its deadline.
func (c *client) send(h *host, method, hostName, target, body string, deadline time.Duration) outcome {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	o := outcome{id: id, sentAt: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.kept = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.outbound()+target, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = hostName
	req.Header.Set("Foxtailhook-Request-Id", id)
	req.Header.Set("Foxtailhook-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	c.record.line("client sends %s (%s %s) to %s", id, method, target, h.name)
	res, err := c.http.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		o.body, o.signed, o.retryAfter = string(raw), res.Header.Get("Foxtailhook-Response-Signature") != "", res.Header.Get("Retry-After")
		if err == nil {
			o.status = res.StatusCode
		}
	}
	o.endedAt, o.err = time.Now(), err
	if o.status == 0 {
		c.record.line("%s ends without a complete answer: %v", id, err)
	} else {
		c.record.line("%s gets %d, signed %v, after %d ms", id, o.status, o.signed, o.endedAt.Sub(o.sentAt).Milliseconds())
	}
	return o
}
