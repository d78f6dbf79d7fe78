package router

import (
	"encoding/json"
	"net/http"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Status is the JSON that /statusz returns.
type Status struct {
	Host        string    `json:"host"`
	Zone        string    `json:"zone"`
	Service     string    `json:"service"`
	Version     uint64    `json:"version"`
	Revision    uint64    `json:"revision"`
	Hosts       int       `json:"hosts"`
	Leaving     bool      `json:"leaving"`
	InFlight    int64     `json:"inFlight"`
	Gate        call.Load `json:"gate"`
	Connections int       `json:"peerConnections"`
	Opened      uint64    `json:"instanceConnectionsOpened"`
}

func (r *Router) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", r.serveHealth)
	mux.HandleFunc("/statusz", r.serveStatus)
	mux.Handle("/metrics", r.metrics.Handler)
	return mux
}

func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	view := r.view.Load()
	raw, err := json.MarshalIndent(Status{
		Host: r.settings.Host, Zone: r.settings.Zone, Service: r.settings.Service, Version: version(view), Revision: view.Revision,
		Hosts: len(view.Hosts()), Leaving: r.leaving(), InFlight: int64(r.active.count()), Gate: r.executor.load(),
		Connections: r.peers.Connections(), Opened: r.executor.instance.Opened(),
	}, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(raw, '\n'))
}
