package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key in the stand-in store.
type item struct {
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created-rev,omitempty"`
	LeaseID    uint64 `json:"lease-id"`
	Removed    bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store that answers all calls at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Revision: s.revision, CreatedRev: s.revision}
	if old, ok := s.items[key]; ok {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) note(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/api/kv-watch":
		s.serveWatch(w, r)
	case "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(i)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w io.Writer, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": found, "more-pages": false, "at-rev": s.revision})
}

func (s *store) serveWatch(w io.Writer, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	prefix := r.URL.Query().Get("prefix")
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []item{}
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				found = append(found, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": found, "at-rev": revision})
		return
	}
}
