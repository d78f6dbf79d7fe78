package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// frozenFor is how long one machine stands still, frozenDownloads how many of its clients wait for a large response then. The instances give
	// the responses one after the other.
	frozenFor       = 4 * time.Second
	frozenDownloads = 48
	frozenBytes     = 14_000_000
	frozenRounds    = 3
	firstWork       = 700 * time.Millisecond
	workStep        = 50 * time.Millisecond
	// maxArrival bounds the wait until the instances work on all of them.
	maxArrival = 600 * time.Millisecond
)

// playFreeze freezes one of ten machines while its clients wait for large responses.
func playFreeze(f *fleet, trouble bool) (int, error) {
	f.configure(7, map[string]any{
		"down": route("/down/", "download", "fwdepot", "6000ms"),
		"pay":  route("/pay/", "non_idempotent", "lockerd", "4000ms"),
	}, services("fwdepot", "lockerd"), tenants())
	if err := f.begin(); err != nil {
		return 0, err
	}
	others := startBystanders(f, f.machines[:2], 12, "/pay/unlock?work=300ms")
	front := f.machines[2]
	for range frozenRounds {
		time.Sleep(6 * time.Second)
		var all sync.WaitGroup
		before := f.downloadRuns()
		for n := range frozenDownloads {
			all.Go(func() { f.waitFor(front, firstWork+time.Duration(n)*workStep) })
		}
		f.awaitRuns(before+frozenDownloads, maxArrival)
		if trouble {
			front.signal(syscall.SIGSTOP)
			time.Sleep(frozenFor)
			front.signal(syscall.SIGCONT)
		}
		all.Wait()
	}
	time.Sleep(2 * time.Second)
	others.end()
	return others.verdict(), nil
}

// downloadRuns returns how many downloads the first two instances have begun.
func (f *fleet) downloadRuns() int {
	count := 0
	for _, m := range f.machines[:2] {
		m.inst.mu.Lock()
		count += len(m.inst.runs)
		m.inst.mu.Unlock()
	}
	return count
}

// awaitRuns waits until so many downloads have begun, or until the limit.
func (f *fleet) awaitRuns(count int, limit time.Duration) {
	for end := time.Now().Add(limit); f.downloadRuns() < count && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) waitFor(m *machine, work time.Duration) {
	c, err := dial(m)
	if err != nil {
		f.rec.addf("client at %s: no connection: %v", m.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	a := &attempt{
		id: newID(), method: http.MethodGet, target: fmt.Sprintf("/down/bundle?work=%s&bytes=%d", work, frozenBytes), host: "shop.example", key: key,
		deadline: 6 * time.Second,
	}
	res := c.send(a)
	f.rec.addf("client at %s: download %s: status %d, %d bytes, error %v, after %d ms", m.name, a.id, res.status, len(res.body), res.err, res.took.Milliseconds())
}
