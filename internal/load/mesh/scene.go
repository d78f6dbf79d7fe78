package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// Scene is a fleet with its callers and what befalls them.
type Scene struct {
	Services []Service
	Routes   []Route
	// Zones is the number of availability zones, over which instances are dealt in turn.
	Zones int
	// Repeats bound what the fleet sends once more.
	Repeats  repeats.Limits
	Troubles []Trouble
	Seed     uint64
	// Without are the mechanisms that are switched off.
	Without mechanism.Set
}

// Service is a kind of instances.
type Service struct {
	Name string
	// Speeds multiply the work of the instances, one for each.
	Speeds []float64
	Slots  int
}

// Route is a kind of requests to one service.
type Route struct {
	Name    string
	Service string
	// PerSecond is what callers ask for; 0 for a route that only instances call.
	PerSecond float64
	// Work is the mean own work of a run.
	Work  time.Duration
	Calls []Call
	Rank  shed.Rank
	// Target is the time within which an answer is as good as it can be, Timeout the operator's longest wait, and Patience
	// that of the caller.
	Target, Timeout, Patience time.Duration
	Attempts                  int
	// Once means that a request may not run twice.
	Once bool
}

// Call is what a run asks of another route.
type Call struct {
	Route string
	Times int
	// Together means that the calls are made at once and not one after the other.
	Together bool
}

// Trouble is something that befalls the fleet from a moment on, for a while.
type Trouble struct {
	From, For time.Duration
	// Service is where it strikes; all callers for a surge without one.
	Service string
	// Surge multiplies what callers ask for.
	Surge float64
	// Sheds is the part of its requests that an instance turns away, though it has room.
	Sheds float64
	// Loses is the part of the runs whose answer is lost on the way.
	Loses float64
	// Slow multiplies the work, and Gone is the part of the instances that take no request.
	Slow float64
	Gone float64
}

func (t *Trouble) active(at time.Duration) bool { return at >= t.From && at < t.From+t.For }
