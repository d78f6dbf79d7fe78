package instance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

// Monitor checks the instance's health over a connection of its own, which also shows a restart at once: a restart breaks all connections.
type Monitor struct {
	address  netip.AddrPort
	observer MonitorObserver
	path     atomic.Pointer[string]
	requests chan struct{}
	// lastCheck is when the last health check was sent.
	lastCheck time.Time
}

// MonitorObserver receives what a monitor observes; its methods are called by one goroutine.
type MonitorObserver interface {
	// Checking is called right before a health check is sent.
	Checking(now time.Time)
	// Checked receives the response to the health check that was sent at the given time.
	Checked(sent time.Time, status int, header http.Header)
	// Disconnected is called when the connection broke, was refused or did not respond; in doubt, the instance has restarted.
	// reachable means that a connection could be opened before.
	Disconnected(err error, reachable bool)
}

const (
	// checkInterval is the interval of health checks without a reason for an earlier one.
	checkInterval = time.Second
	// checkTimeout bounds the wait for the response to a health check; a busy instance responds within tens of milliseconds.
	checkTimeout = 800 * time.Millisecond
	// reconnectPause is the wait before a new connection after one failed.
	reconnectPause = 50 * time.Millisecond
)

var (
	errUnanswered = errors.New("instance: health check not answered")
	errUnasked    = errors.New("instance: a response to no health check")
	errClosed     = errors.New("instance: the monitor's connection was closed")
)

// NewMonitor returns a monitor of the instance at the address, which does nothing until it has a path and Run is called.
func NewMonitor(address netip.AddrPort, observer MonitorObserver) *Monitor {
	return &Monitor{address: address, observer: observer, requests: make(chan struct{}, 1)}
}

// SetPath sets the path of the health check.
func (m *Monitor) SetPath(path string) {
	if old := m.path.Swap(&path); old == nil || *old != path {
		m.Check()
	}
}

// Check requests a health check right now.
func (m *Monitor) Check() {
	select {
	case m.requests <- struct{}{}:
	default:
	}
}

// clearRequest drops a request for a health check that the one sent next fulfils.
func (m *Monitor) clearRequest() {
	select {
	case <-m.requests:
	default:
	}
}

// Run monitors the instance until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil && m.awaitPath(ctx) {
		reachable, err := m.watch(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		m.observer.Disconnected(err, reachable)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// awaitPath returns true once there is a path to check.
func (m *Monitor) awaitPath(ctx context.Context) bool {
	for m.path.Load() == nil {
		select {
		case <-ctx.Done():
			return false
		case <-m.requests:
		}
	}
	return true
}

// watch checks the instance over one connection until that ends. The error is nil if the instance announced the end.
func (m *Monitor) watch(ctx context.Context) (reachable bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	c, err := dialer.DialContext(ctx, "tcp", m.address.String())
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	responses := make(chan healthResponse)
	done := make(chan struct{})
	defer close(done)
	go readResponses(c, responses, done)
	for {
		select {
		case _, open := <-responses:
			if !open {
				return true, errClosed
			}
			return true, errUnasked
		case <-m.requests:
		case <-time.After(time.Until(m.lastCheck.Add(checkInterval))):
			m.clearRequest()
		}
		res, err := m.check(c, responses)
		if err != nil || res.Close {
			return true, err
		}
	}
}

// check sends one health check and passes the response on.
func (m *Monitor) check(c net.Conn, responses <-chan healthResponse) (*http.Response, error) {
	sent := time.Now()
	m.lastCheck = sent
	m.observer.Checking(sent)
	_ = c.SetWriteDeadline(sent.Add(checkTimeout))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", *m.path.Load(), m.address); err != nil {
		return nil, err
	}
	select {
	case res, open := <-responses:
		if !open {
			return nil, errClosed
		}
		if res.begun.Before(sent) {
			return nil, errUnasked
		}
		m.observer.Checked(sent, res.StatusCode, res.Header)
		return res.Response, nil
	case <-time.After(checkTimeout):
		return nil, errUnanswered
	}
}

// healthResponse is a response on the monitor's connection.
type healthResponse struct {
	*http.Response
	// begun is when its first byte was read: a response that began before a health check was sent isn't the check's.
	begun time.Time
}

// readResponses passes on the responses on the connection, without their bodies, until it ends or the receiver is done.
func readResponses(c net.Conn, responses chan<- healthResponse, done <-chan struct{}) {
	defer close(responses)
	reader := newHeadReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		begun := time.Now()
		res, _, err := reader.readHeader(nil)
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxHealthBody)); err != nil || n == maxHealthBody {
			return
		}
		if err := responsehead.CheckTrailer(res); err != nil {
			return
		}
		select {
		case responses <- healthResponse{res, begun}:
		case <-done:
			return
		}
	}
}

// maxHealthBody bounds the body of a response to a health check, in bytes.
const maxHealthBody = 64 << 10
