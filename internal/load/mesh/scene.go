package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// Scenario is a fleet, the load of its callers and the faults injected.
type Scenario struct {
	Services []Service
	Routes   []Route
	// Zones is the number of availability zones; instances are assigned to them round robin.
	Zones int
	// RetryLimits bound the retries of the whole fleet.
	RetryLimits repeats.Limits
	Faults      []Fault
	Seed        uint64
	// Without is the set of disabled mechanisms.
	Without mechanism.Set
}

// Service describes the instances of a service.
type Service struct {
	Name string
	// WorkFactors has one entry for each instance: the factor that its work times are multiplied by.
	WorkFactors []float64
	Slots       int
	// An instance that has restarted is cold for ColdStart: its work takes coldSlowdown times as long, and it crashes well above ColdRate
	// requests per second. A ColdRate of 0 means that it tolerates any number.
	ColdStart time.Duration
	ColdRate  float64
}

// Route describes one kind of request to one service.
type Route struct {
	Name    string
	Service string
	// ArrivalRate is the callers' requests per second; 0 for a route that only instances call.
	ArrivalRate float64
	// Work is the mean processing time of a request, without its sub-calls.
	Work     time.Duration
	Subcalls []Subcall
	Rank     shed.Rank
	// Target is the latency target, Timeout the configured limit for one request, and Patience the time that a caller waits in
	// all, including its retry.
	Target, Timeout, Patience time.Duration
	Attempts                  int
	// Fatal means that all its requests have the same content, which makes the instance crash that runs it.
	Fatal bool
	// AtMostOnce means that a request that may have run is not retried.
	AtMostOnce bool
}

// Subcall describes the requests to another route that an instance makes while it runs a request.
type Subcall struct {
	Route string
	Count int
	// Concurrent means that the sub-calls are sent at once instead of one after the other.
	Concurrent bool
}

// Fault is an injected fault that is active from From on, for Duration.
type Fault struct {
	From, Duration time.Duration
	// Service is the affected service; it is empty for a surge, which affects all callers.
	Service string
	// SurgeFactor multiplies the arrival rates.
	SurgeFactor float64
	// DeclineFraction is the fraction of its requests that an instance declines, although it has free slots.
	DeclineFraction float64
	// LossFraction is the fraction of completed requests whose response is lost.
	LossFraction float64
	// SlowFactor multiplies the work time, and UnreachableFraction is the fraction of the instances that are unreachable.
	SlowFactor          float64
	UnreachableFraction float64
	// PowerLoss means that all hosts lose power at From and are back after Duration: the daemons know nothing, the instances are cold.
	PowerLoss bool
	// RestartFraction is the fraction of the service's instances that crash at From and are back, cold, after Duration.
	RestartFraction float64
	// LimitedFraction is the fraction of the service's instances that state a rate limit, of RateLimit requests a second, in their responses.
	LimitedFraction float64
	RateLimit       float64
}

func (f *Fault) active(at time.Duration) bool { return at >= f.From && at < f.From+f.Duration }
