package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bystanders are clients with kept connections whose requests have nothing to do with the disruption: they go to the one instance of a service that is
// sound all the while, on a machine that is left alone.
const (
	bystandersPerHost = 12
	bystanderService  = "repairs"
	bystanderDeadline = 5 * time.Second
)

type bystanders struct {
	fleet   *fleet
	hosts   []*host
	served  atomic.Int64
	stop    chan struct{}
	sending sync.WaitGroup

	mu sync.Mutex
	// unanswered has the requests on kept connections that ended without an answer, by host.
	unanswered map[*host][]string
}

// addBystanderService adds the machine of the service that bystanders use, with its route.
func (f *fleet) addBystanderService(zone string) error {
	f.route("confirm", "/confirm/", "non_idempotent", bystanderService, "5s", "1500ms")
	_, _, err := f.add(bystanderService, zone, 56)
	return err
}

// startBystanders lets bystanders of the hosts send requests until end.
func (f *fleet) startBystanders(hosts []*host) *bystanders {
	b := &bystanders{fleet: f, hosts: hosts, stop: make(chan struct{}), unanswered: map[*host][]string{}}
	for _, h := range hosts {
		for range bystandersPerHost {
			b.sending.Go(func() { b.run(h) })
		}
	}
	return b
}

func (b *bystanders) run(h *host) {
	c := newClient(b.fleet.record, tenantKey)
	for {
		select {
		case <-b.stop:
			return
		default:
		}
		o := c.send(h, http.MethodPost, "recall.example", "/confirm/?work=300", "x", bystanderDeadline)
		switch {
		case o.status == http.StatusOK:
			b.served.Add(1)
		case o.status == 0 && o.kept:
			b.mu.Lock()
			b.unanswered[h] = append(b.unanswered[h], o.id)
			b.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// maxLost is how many requests LOST allows a machine to pass on from kept connections that it then closes without an answer.
const maxLost = 3

// end ends the bystanders, and reports whether LOST is broken: a machine passed requests from kept connections on to the sound instance and closed
// these connections without an answer, more than three times.
func (b *bystanders) end() bool {
	close(b.stop)
	b.sending.Wait()
	isBroken := false
	for _, h := range b.hosts {
		lost := 0
		for _, id := range b.unanswered[h] {
			if len(b.fleet.runsOf(id)) > 0 {
				b.fleet.record.line("LOST: %s came on a kept connection to %s, was passed on to a sound instance and got no answer", id, h.name)
				lost++
			}
		}
		b.fleet.record.line("%s: %d such requests, %d are allowed", h.name, lost, maxLost)
		isBroken = isBroken || lost > maxLost
	}
	b.fleet.record.line("%d requests of bystanders served", b.served.Load())
	return isBroken
}
