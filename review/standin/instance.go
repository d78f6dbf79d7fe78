package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an instance began to work on.
type run struct {
	machine, id, method, target, caller, tenant, body string
	bytes                                             int
	at                                                time.Time
}

// instance is a stand-in for a sound instance: it answers each request after its time of work.
type instance struct {
	m    *machine
	id   string
	born int64

	mu   sync.Mutex
	runs []run
	busy int
	// answer, if not nil, writes the response in place of the usual one.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

func newInstance(m *machine, id string) *instance {
	return &instance{m: m, id: id, born: time.Now().UnixMilli()}
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Foxtailhook-Instance-Id", i.id)
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		i.stateLoad(h)
		return
	}
	id := r.Header.Get("Foxtailhook-Request-Id")
	h.Set("Foxtailhook-Request-Id", id)
	if target := r.Header.Get("Foxtailhook-Target-Instance"); target != "" && target != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		i.m.fleet.rec.addf("%s: request %s broke off after %d bytes", i.id, id, size)
		return
	}
	i.mu.Lock()
	if i.busy >= i.m.fleet.slots {
		i.mu.Unlock()
		h.Set("Foxtailhook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.busy++
	i.runs = append(i.runs, run{
		machine: i.m.name, id: id, method: r.Method, target: r.RequestURI, caller: r.Header.Get("Foxtailhook-Caller-Service"),
		tenant: r.Header.Get("Foxtailhook-Tenant-Id"), bytes: int(size), body: fmt.Sprintf("%x", hash.Sum(nil)[:6]), at: time.Now(),
	})
	answer := i.answer
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		i.busy--
		i.mu.Unlock()
	}()
	i.m.fleet.rec.addf("%s (%s): runs %s %s %s, %d bytes", i.id, i.m.name, id, r.Method, r.RequestURI, size)
	work, _ := time.ParseDuration(r.URL.Query().Get("work"))
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		i.m.fleet.rec.addf("%s: %s was dropped by its sender", i.id, id)
		return
	}
	if answer != nil && answer(w, r) {
		return
	}
	i.stateLoad(h)
	h.Set("Foxtailhook-Response-Signature", "signed-"+i.id+"-"+id)
	length, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	body := answerBody(id, length)
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// answerBody returns the body of the answer to the request with the id.
func answerBody(id string, length int) []byte {
	body := make([]byte, max(length, len(id)+1))
	for n := range body {
		body[n] = (id + "\n")[n%(len(id)+1)]
	}
	return body
}

func (i *instance) stateLoad(h http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h.Set("Foxtailhook-Instance-Load", fmt.Sprintf("%d,0,%d", i.busy, i.m.fleet.slots))
}

// runsOf returns how often requests with the id ran, on all instances.
func (f *fleet) runsOf(id string) []run {
	var all []run
	for _, m := range f.machines {
		m.inst.mu.Lock()
		for _, r := range m.inst.runs {
			if r.id == id {
				all = append(all, r)
			}
		}
		m.inst.mu.Unlock()
	}
	return all
}
