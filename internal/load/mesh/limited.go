package mesh

import (
	"slices"
	"time"
)

const (
	// An instance that states a rate limit may receive limitFactor times what it allows, plus limitSlack, in any window of limitWindow that begins
	// limitGrace after it first did so.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
)

// limitState is the state of a host whose instance may state a rate limit.
type limitState struct {
	// rateLimit is what the instance states, 0 for none, and limitedAt since when.
	rateLimit float64
	limitedAt time.Time
	// knownLimit is what the daemon has read in the last response.
	knownLimit float64
	// limitedArrivals are the times of the requests in the last window that counts.
	limitedArrivals []time.Time
}

// scheduleLimits schedules the rate limits among the faults.
func (f *fleet) scheduleLimits() {
	for _, fault := range f.scenario.Faults {
		for _, h := range f.hosts {
			if h.instance.Service == fault.Service && float64(h.ordinal) < fault.LimitedFraction*float64(h.serviceSize) {
				f.clock.After(fault.From, func() { h.rateLimit, h.limitedAt = fault.RateLimit, f.now() })
				f.clock.After(fault.From+fault.Duration, func() { h.rateLimit, h.limitedArrivals = 0, nil })
			}
		}
	}
}

// readLimit takes over what a response of the instance states.
func (h *host) readLimit() {
	if h.knownLimit == h.rateLimit {
		return
	}
	h.knownLimit = h.rateLimit
	if h.rateLimit == 0 {
		h.pacer.Unlimit()
		return
	}
	h.pacer.Limit(h.rateLimit, h.fleet.now())
	h.resume()
}

// countLimited counts a request that reaches the instance while it states a rate limit.
func (h *host) countLimited() {
	now := h.fleet.now()
	if h.rateLimit == 0 || now.Sub(h.limitedAt) < limitGrace {
		return
	}
	h.limitedArrivals = slices.DeleteFunc(append(h.limitedArrivals, now), func(at time.Time) bool { return now.Sub(at) >= limitWindow })
	bound := limitFactor*h.rateLimit*limitWindow.Seconds() + limitSlack
	h.fleet.result.LimitUse = max(h.fleet.result.LimitUse, float64(len(h.limitedArrivals))/bound)
}
