package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as the store's interface shows it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created-rev,omitempty"`
	LeaseID    int    `json:"lease-id"`
	Removed    bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store: linearizable, with its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	changed  chan struct{}
}

// pageSize is the maximum number of items in one page.
const pageSize = 500

func startStore(address string) (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value and returns its revision.
func (s *store) put(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: raw})
}

// remove removes a key.
func (s *store) remove(key string) { s.write(item{Key: key, Removed: true}) }

func (s *store) write(i item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.CreatedRev = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreatedRev = old.CreatedRev
	}
	s.items[i.Key] = i
	if i.Removed {
		delete(s.items, i.Key)
	}
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.Revision
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	reply(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	page := struct {
		Items     []item `json:"items"`
		MorePages bool   `json:"more-pages"`
		AtRev     uint64 `json:"at-rev"`
	}{Items: []item{}, AtRev: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			page.Items = append(page.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if len(page.Items) > pageSize {
		page.Items, page.MorePages = page.Items[:pageSize], true
	}
	reply(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := struct {
			Events []item `json:"events"`
			AtRev  uint64 `json:"at-rev"`
		}{Events: []item{}, AtRev: s.revision}
		for _, i := range s.log {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				found.Events = append(found.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(found.Events) > 0 {
			reply(w, found)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, found)
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
