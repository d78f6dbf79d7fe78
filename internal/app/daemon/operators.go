package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// Status is the body of /statusz.
type Status struct {
	Host        string                `json:"host"`
	Service     string                `json:"service"`
	Zone        string                `json:"zone"`
	Ready       bool                  `json:"ready"`
	Standing    string                `json:"standing"`
	Reader      bool                  `json:"reader"`
	Suspects    int                   `json:"suspects"`
	SaidLeaving int                   `json:"saidLeaving"`
	Leaving     bool                  `json:"leaving"`
	InFlight    int64                 `json:"inFlight"`
	Gate        call.Load             `json:"gate"`
	Lists       map[string]ListStatus `json:"lists"`
	Connections int                   `json:"peerConnections"`
	SentBytes   uint64                `json:"peerBytesSent"`
	GotBytes    uint64                `json:"peerBytesReceived"`
	// Messages has the bytes of frames between daemons by kind of message.
	Messages map[string]peer.Bytes `json:"peerMessages"`
	Reads    uint64                `json:"platformReads"`
	Rates    RateStatus            `json:"rates"`
}

// ListStatus reports which version of a list is in force and which was rejected.
type ListStatus struct {
	Version  uint64           `json:"version"`
	Rejected *lists.Rejection `json:"rejected,omitempty"`
}

func (d *Daemon) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", d.serveHealth)
	mux.HandleFunc("/statusz", d.serveStatus)
	mux.Handle("/metrics", d.metrics.Handler)
	return mux
}

func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !d.acceptsCallers(time.Now()):
		http.Error(w, "lists not confirmed as current: "+d.servingState.Load().String(), http.StatusServiceUnavailable)
	case !d.rateLimiter.ready.Load():
		http.Error(w, "no rates yet", http.StatusServiceUnavailable)
	case !d.serving.Load():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	body, err := json.MarshalIndent(d.status(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

func (d *Daemon) status() Status {
	traffic := d.peers.Traffic()
	s := Status{
		Host: d.settings.Host, Service: d.settings.Service, Zone: d.settings.Zone,
		Ready: d.acceptsCallers(time.Now()) && d.rateLimiter.ready.Load(), Standing: d.servingState.Load().String(), Leaving: d.leaving.Load(), InFlight: d.inFlight.total.Load(),
		Gate:  d.executor.gate.Load(),
		Lists: map[string]ListStatus{}, Connections: d.peers.Connections(),
		SentBytes: traffic.Sent, GotBytes: traffic.Received, Messages: messageBytes(traffic), Reads: d.control.platform.Reads(),
	}
	s.SaidLeaving, s.Suspects = d.members.Load().Counts()
	d.control.do(func() {
		s.Rates = d.rateLimiter.status(time.Now())
		s.Reader = d.control.stopReading != nil
		for k := range lists.Kinds {
			s.Lists[lists.Kind(k).String()] = d.control.listStatus(lists.Kind(k))
		}
	})
	return s
}

func messageBytes(traffic peer.Traffic) map[string]peer.Bytes {
	all := map[string]peer.Bytes{}
	for k, bytes := range traffic.ByKind {
		if k > 0 && bytes != (peer.Bytes{}) {
			all[peer.Kind(k).String()] = bytes
		}
	}
	return all
}

func (c *control) listStatus(k lists.Kind) ListStatus {
	status := ListStatus{Version: c.set.Value(k).Version}
	if r := c.set.Rejection(k); r.Version > status.Version {
		status.Rejected = &r
	}
	return status
}
