package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// HeaderVersion carries a list's version in the platform's answers.
const HeaderVersion = "List-Version"

// ErrUnchanged means that the watch ended without a newer version.
var ErrUnchanged = errors.New("platform: unchanged")

// Client reads lists from the configuration service; it never writes.
type Client struct {
	address netip.AddrPort
	http    *http.Client
	reads   atomic.Uint64
}

// slack is how much longer than the watch itself an answer may take.
const slack = 2 * time.Second

// New returns a client for the service at the address that speaks from the local IP number; an unspecified one means any.
func New(address netip.AddrPort, local netip.Addr) *Client {
	dialer := &net.Dialer{Timeout: slack}
	if local.IsValid() && !local.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}}
}

// Reads returns the number of calls made, a waiting watch as one.
func (c *Client) Reads() uint64 { return c.reads.Load() }

// Watch returns the list's value once its version is above after, or ErrUnchanged when wait is over; wait zero reads at once.
func (c *Client) Watch(ctx context.Context, kind lists.Kind, after uint64, wait time.Duration) (lists.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	c.reads.Add(1)
	url := fmt.Sprintf("http://%s/v1/lists/%s?after=%d&waitMs=%d", c.address, kind, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return lists.Value{}, errors.Wrap(err, "platform: build request")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return lists.Value{}, errors.Wrapf(err, "platform: watch %s", kind)
	}
	defer func() { _ = res.Body.Close() }()
	return c.read(kind, res)
}

func (c *Client) read(kind lists.Kind, res *http.Response) (lists.Value, error) {
	switch res.StatusCode {
	case http.StatusNotModified, http.StatusNotFound:
		return lists.Value{}, ErrUnchanged
	case http.StatusOK:
	default:
		return lists.Value{}, errors.Errorf("platform: watch %s: status %d", kind, res.StatusCode)
	}
	version, err := strconv.ParseUint(res.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return lists.Value{}, errors.Wrapf(err, "platform: version of %s", kind)
	}
	// One byte over the bound is read, so that the value's own check can tell and name the fault.
	raw, err := io.ReadAll(io.LimitReader(res.Body, lists.MaxBytes+1))
	if err != nil {
		return lists.Value{}, errors.Wrapf(err, "platform: read %s", kind)
	}
	return lists.Value{Kind: kind, Version: version, Raw: raw}, nil
}
