package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an instance.
type run struct {
	id, instance, caller, tenant, method, target string
	began, ended                                 time.Time
	status                                       int
}

// instance is a server of one service, as the users' pages describe one.
type instance struct {
	id, service, address string
	slots                int
	born                 time.Time
	record               *record
	server               *http.Server
	free                 chan struct{}
	waiting              atomic.Int64
	sequence             atomic.Int64
	// inTrouble, if not nil, draws whether answer writes the next response in place of the instance.
	inTrouble func() bool
	// answer writes a response of its own on the connection.
	answer func(r *http.Request, c net.Conn, w *bufio.ReadWriter) bool

	mu   sync.Mutex
	runs []*run
}

// queueLength is the number of requests that wait at an instance; it declines more.
const queueLength = 72

func startInstance(id, service, address string, slots int, rec *record) (*instance, error) {
	i := &instance{id: id, service: service, address: address, slots: slots, born: time.Now(), record: rec, free: make(chan struct{}, slots)}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(l) }()
	return i, nil
}

// entry is what the instance writes into the store.
func (i *instance) entry(zone, state string) map[string]any {
	return map[string]any{
		"address": i.address, "born": i.born.UnixMilli(),
		"info":   map[string]any{"service": i.service, "zone": zone, "slots": i.slots, "version": "1"},
		"status": map[string]any{"state": state, "sequence": i.sequence.Add(1), "cold-remaining": "0ms"},
	}
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("Foxtailhook-Instance-Id", i.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Foxtailhook-Request-Id")
	if target := r.Header.Get("Foxtailhook-Target-Instance"); target != "" && target != i.id {
		h.Set("Foxtailhook-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Foxtailhook-Deadline-Ms"))
	if ms == 0 {
		ms = 30000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	h.Set("Foxtailhook-Request-Id", id)
	if i.waiting.Add(1) > queueLength {
		i.waiting.Add(-1)
		i.decline(w, id)
		return
	}
	select {
	case i.free <- struct{}{}:
		i.waiting.Add(-1)
	case <-ctx.Done():
		i.waiting.Add(-1)
		i.decline(w, id)
		return
	}
	defer func() { <-i.free }()
	i.work(ctx, w, r, id, ms)
}

func (i *instance) decline(w http.ResponseWriter, id string) {
	i.record.line("instance %s declines %s", i.id, id)
	w.Header().Set("Foxtailhook-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// work runs the request for the milliseconds that its query names.
func (i *instance) work(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, deadlineMs int) {
	done := &run{
		id: id, instance: i.id, caller: r.Header.Get("Foxtailhook-Caller-Service"), tenant: r.Header.Get("Foxtailhook-Tenant-Id"),
		method: r.Method, target: r.RequestURI, began: time.Now(),
	}
	i.mu.Lock()
	i.runs = append(i.runs, done)
	i.mu.Unlock()
	i.record.line("instance %s runs %s (%s %s) with %d ms left", i.id, id, r.Method, r.RequestURI, deadlineMs)
	workMs, _ := strconv.Atoi(r.URL.Query().Get("work"))
	status := http.StatusOK
	select {
	case <-time.After(time.Duration(workMs) * time.Millisecond):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	dropped := r.Context().Err() != nil
	i.mu.Lock()
	done.ended, done.status = time.Now(), status
	if dropped {
		done.status = 0
	}
	i.mu.Unlock()
	if dropped {
		i.record.line("instance %s drops %s: its connection was closed", i.id, id)
		return
	}
	i.record.line("instance %s ends %s with %d", i.id, id, status)
	if i.answer != nil {
		if hijacker, ok := w.(http.Hijacker); ok && i.wrong(r, hijacker) {
			return
		}
	}
	w.Header().Set("Foxtailhook-Response-Signature", "sig."+i.id+"."+id)
	w.Header().Set("Foxtailhook-Instance-Load", fmt.Sprintf("%d,%d,%d", len(i.free), i.waiting.Load(), i.slots))
	body := "answer of " + i.id + " to " + id + strings.Repeat(".", 64) + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// wrong lets the instance's trouble write the response.
func (i *instance) wrong(r *http.Request, hijacker http.Hijacker) bool {
	if i.inTrouble == nil || !i.inTrouble() {
		return false
	}
	i.record.line("instance %s writes wrong bytes to %s", i.id, r.Header.Get("Foxtailhook-Request-Id"))
	c, rw, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	return i.answer(r, c, rw)
}

// runsOf returns the runs of a request at the instance.
func (i *instance) runsOf(id string) []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	var found []run
	for _, r := range i.runs {
		if r.id == id {
			found = append(found, *r)
		}
	}
	return found
}
