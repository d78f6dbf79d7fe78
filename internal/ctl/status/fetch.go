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

// Host is one daemon's status, or the error of reading it.
type Host struct {
	Operators netip.AddrPort `json:"operators"`
	Status    *daemon.Status `json:"status,omitempty"`
	Error     string         `json:"error,omitempty"`
}

// maxConcurrent limits the requests in flight, so that reading the status of thousands of hosts opens few sockets.
const maxConcurrent = 64

// Fetch reads the status at every operators' address, each with the timeout, and returns them in that order.
func Fetch(ctx context.Context, operators []netip.AddrPort, timeout time.Duration) []Host {
	hosts := make([]Host, len(operators))
	client := &http.Client{Timeout: timeout}
	semaphore := make(chan struct{}, maxConcurrent)
	var fetches sync.WaitGroup
	for i, address := range operators {
		semaphore <- struct{}{}
		fetches.Go(func() {
			defer func() { <-semaphore }()
			hosts[i] = fetch(ctx, client, address)
		})
	}
	fetches.Wait()
	return hosts
}

func fetch(ctx context.Context, client *http.Client, address netip.AddrPort) Host {
	host := Host{Operators: address}
	status, err := get(ctx, client, address)
	if err != nil {
		host.Error = err.Error()
		return host
	}
	host.Status = status
	return host
}

func get(ctx context.Context, client *http.Client, address netip.AddrPort) (*daemon.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/statusz", nil)
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
