package status

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/app/daemon"
)

// Host is one daemon's status, or why there is none.
type Host struct {
	Operators netip.AddrPort `json:"operators"`
	Status    *daemon.Status `json:"status,omitempty"`
	Error     string         `json:"error,omitempty"`
}

// atOnce bounds the requests in flight, so that asking a fleet of thousands opens few sockets.
const atOnce = 64

// Fetch asks every operators' address for its status, each for at most the timeout, and returns them in that order.
func Fetch(ctx context.Context, operators []netip.AddrPort, timeout time.Duration) []Host {
	hosts := make([]Host, len(operators))
	client := &http.Client{Timeout: timeout}
	slots := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, o := range operators {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			hosts[i] = fetch(ctx, client, o)
		})
	}
	all.Wait()
	return hosts
}

func fetch(ctx context.Context, client *http.Client, o netip.AddrPort) Host {
	host := Host{Operators: o}
	status, err := get(ctx, client, o)
	if err != nil {
		host.Error = err.Error()
		return host
	}
	host.Status = status
	return host
}

func get(ctx context.Context, client *http.Client, o netip.AddrPort) (*daemon.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.String()+"/statusz", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "no answer")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", res.StatusCode)
	}
	status := &daemon.Status{}
	if err := json.NewDecoder(res.Body).Decode(status); err != nil {
		return nil, errors.Wrap(err, "unreadable answer")
	}
	return status, nil
}
