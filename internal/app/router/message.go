package router

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// run hands a request on to the daemon beside the chosen instance.
type run struct {
	RequestID     string              `msgpack:"requestId"`
	Instance      routing.Incarnation `msgpack:"instance"`
	Route         string              `msgpack:"route"`
	CallerService string              `msgpack:"callerService"`
	Organisation  string              `msgpack:"organisation"`
	Method        string              `msgpack:"method"`
	Target        string              `msgpack:"target"`
	HTTPHost      string              `msgpack:"httpHost"`
	Header        http.Header         `msgpack:"header"`
	Body          []byte              `msgpack:"body"`
	Remaining     time.Duration       `msgpack:"remaining"`
	Priority      call.Priority       `msgpack:"priority"`
	Idempotent    bool                `msgpack:"idempotent"`
}

// ran is the answer to run.
type ran struct {
	Outcome    call.Outcome  `msgpack:"outcome"`
	Reason     call.Reason   `msgpack:"reason"`
	Status     int           `msgpack:"status"`
	Header     http.Header   `msgpack:"header"`
	Body       []byte        `msgpack:"body"`
	RetryAfter time.Duration `msgpack:"retryAfter"`
	Load       call.Load     `msgpack:"load"`
	// Arrived means that the request reached the instance, whether or not it ran.
	Arrived bool `msgpack:"arrived"`
	// Waited is how long the request waited for a slot.
	Waited time.Duration `msgpack:"waited"`
}

// beat tells a collector what a daemon knows and sees.
type beat struct {
	From     netip.AddrPort     `msgpack:"from"`
	Version  uint64             `msgpack:"version"`
	Revision uint64             `msgpack:"revision"`
	Leaving  bool               `msgpack:"leaving"`
	Demand   map[string]float64 `msgpack:"demand"`
}

// beaten is the answer to beat.
type beaten struct {
	Version  uint64             `msgpack:"version"`
	Revision uint64             `msgpack:"revision"`
	Totals   map[string]float64 `msgpack:"totals"`
	Daemons  int                `msgpack:"daemons"`
	Leaving  []netip.Addr       `msgpack:"leaving"`
}

// fetch asks another daemon for what is newer than this.
type fetch struct {
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
}

// fetched is the answer to fetch.
type fetched struct {
	Changes catalog.Changes `msgpack:"changes"`
}
