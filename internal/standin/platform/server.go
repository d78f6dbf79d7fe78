package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	wire "github.com/foxtailhook/foxtailhook/internal/wire/platform"
)

// Handler returns the stand-in's HTTP interface: daemons read and watch lists,
// and the operators of a demo or test publish values and set the mode.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lists/{list}", s.serveRead)
	mux.HandleFunc("PUT /v1/lists/{list}", s.servePublish)
	mux.HandleFunc("POST /v1/mode/{mode}", s.serveMode)
	mux.HandleFunc("GET /v1/reads", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, s.Reads()) })
	return mux
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	kind, ok := lists.ParseKind(r.PathValue("list"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for first := true; ; first = false {
		value, mode, changed := s.Read(kind, first)
		if mode == Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if value.Version > after || (value.Version > 0 && waitMs == 0) {
			w.Header().Set(wire.HeaderVersion, strconv.FormatUint(value.Version, 10))
			_, _ = w.Write(value.Raw)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// maxPublishBytes is above the size that the platform allows, so that tests can publish a value that is too large.
const maxPublishBytes = 4 << 20

func (s *Store) servePublish(w http.ResponseWriter, r *http.Request) {
	kind, ok := lists.ParseKind(r.PathValue("list"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPublishBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintln(w, s.Publish(kind, raw))
}

func (s *Store) serveMode(w http.ResponseWriter, r *http.Request) {
	mode, ok := ParseMode(r.PathValue("mode"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.Set(mode)
	fmt.Fprintln(w, mode)
}
