package routing

import (
	"net/netip"
	"time"
)

// Instance is the published state of one running copy of a service.
type Instance struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is the number of requests that it can run at the same time.
	Slots int
	// Draining instances finish their requests and receive no new ones.
	Draining bool
	// ColdFor is the remaining warm-up time, during which it is slow, as of the publication.
	ColdFor time.Duration
	// ColdUntil is when the warm-up ends by this daemon's clock; the catalog sets it when it receives the instance.
	ColdUntil time.Time `msgpack:"-"`
	// ColdRate is the requests per second that it tolerates while it is cold, 0 for no limit; the catalog sets it from the configuration.
	ColdRate float64 `msgpack:"-"`
	// Born is its start time, zero if not published; it differs after a restart under the same id.
	Born time.Time
}

// Incarnation identifies one start of an instance, as opposed to other starts under the same id.
type Incarnation struct {
	ID   string
	Born time.Time
}

// Incarnation identifies this start of the instance.
func (i *Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, Born: i.Born} }
