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
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

// HeaderVersion is the HTTP header with a list's version in the service's responses.
const HeaderVersion = "List-Version"

// ErrUnchanged means that the list has no newer version, or does not exist.
var ErrUnchanged = errors.New("platform: list unchanged")

// Client reads lists from the configuration service; it never writes to it.
type Client struct {
	address    netip.AddrPort
	httpClient *http.Client
	reads      atomic.Uint64
}

// timeoutMargin is how much longer than the wait of the watch its response may take; it also bounds dialing.
const timeoutMargin = 2 * time.Second

// maxHead bounds the head of a response in bytes.
const maxHead = 64 << 10

// New returns a client for the service at the address. It connects from localIP; if that is invalid or unspecified, the system chooses.
func New(address netip.AddrPort, localIP netip.Addr) *Client {
	dialer := &net.Dialer{Timeout: timeoutMargin}
	if localIP.IsValid() && !localIP.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(localIP, 0))
	}
	return &Client{address: address, httpClient: &http.Client{Transport: &http.Transport{DialContext: responsehead.Dial(dialer.DialContext), MaxResponseHeaderBytes: maxHead}}}
}

// Reads returns the number of calls to Watch.
func (c *Client) Reads() uint64 { return c.reads.Load() }

// Watch returns the list's value once its version is greater than after, or ErrUnchanged if it isn't within wait; with zero
// wait it returns at once.
func (c *Client) Watch(ctx context.Context, kind lists.Kind, after uint64, wait time.Duration) (lists.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeoutMargin)
	defer cancel()
	c.reads.Add(1)
	url := fmt.Sprintf("http://%s/v1/lists/%s?after=%d&waitMs=%d", c.address, kind, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(responsehead.WithTrace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return lists.Value{}, errors.Wrap(err, "platform: build request")
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return lists.Value{}, errors.Wrapf(err, "platform: watch %s", kind)
	}
	defer func() { _ = res.Body.Close() }()
	return c.readValue(kind, res)
}

func (c *Client) readValue(kind lists.Kind, res *http.Response) (lists.Value, error) {
	switch res.StatusCode {
	case http.StatusNotModified, http.StatusNotFound:
		return lists.Value{}, ErrUnchanged
	case http.StatusOK:
	default:
		return lists.Value{}, errors.Errorf("platform: watch %s: status %d, want 200, 304 or 404", kind, res.StatusCode)
	}
	version, err := strconv.ParseUint(res.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return lists.Value{}, errors.Wrapf(err, "platform: invalid version header for %s", kind)
	}
	// One byte more than the bound is read, so that the check of the value detects and reports a list that is too large.
	raw, err := io.ReadAll(io.LimitReader(res.Body, lists.MaxBytes+1))
	if err == nil {
		err = responsehead.CheckTrailer(res)
	}
	if err != nil {
		return lists.Value{}, errors.Wrapf(err, "platform: read %s", kind)
	}
	return lists.Value{Kind: kind, Version: version, Raw: raw}, nil
}
