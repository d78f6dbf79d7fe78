package routing

import (
	"net/netip"
	"time"
)

// Instance is what one running copy of a service says of itself.
type Instance struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is how many requests it runs at once.
	Slots int
	// Draining instances finish what they have and get nothing new.
	Draining bool
	// ColdFor is how much longer it stays slow after its start, counted from when it said so.
	ColdFor time.Duration
	// Born is when it started, zero if it doesn't say; one that starts again under its id has another.
	Born time.Time
}

// Incarnation tells one start of an instance from others under the same id.
type Incarnation struct {
	ID   string
	Born time.Time
}

// Incarnation returns which start of the instance this is.
func (i *Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, Born: i.Born} }
