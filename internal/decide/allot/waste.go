package allot

import (
	"math"
	"time"
)

// deliveryStats are decayed counts of the requests delivered to a service's instances, and of those that must be retried.
type deliveryStats struct {
	retryable, delivered float64
	updated              time.Time
}

// deliveryTimeConstant is the time constant of the decay.
const deliveryTimeConstant = 400 * time.Millisecond

// RecordDeliveries records how many requests were delivered to an instance of the service, and how many of them must be retried: the
// instance declined them, the response was lost, or the instance failed.
func (p *Planner) RecordDeliveries(service string, delivered, retryable int, now time.Time) {
	d := p.deliveries[service]
	if d == nil {
		d = &deliveryStats{updated: now}
		p.deliveries[service] = d
	}
	decay := math.Exp(-now.Sub(d.updated).Seconds() / deliveryTimeConstant.Seconds())
	d.retryable = d.retryable*decay + float64(retryable)
	d.delivered = d.delivered*decay + float64(delivered)
	d.updated = now
}

const (
	// minRetryableFraction is the fraction below which retries aren't planned for: an instance is full now and then.
	minRetryableFraction = 0.03
	// maxRetryableFraction bounds the fraction, since some requests must be admitted to find out that it has fallen.
	maxRetryableFraction = 0.95
	// minDelivered is the smallest number of deliveries that gives a usable fraction.
	minDelivered = 5
)

// retriesPerDelivery returns the expected number of retries until an instance of the service accepts a request.
func (p *Planner) retriesPerDelivery(service string) float64 {
	d := p.deliveries[service]
	if d == nil || d.delivered < minDelivered {
		return 0
	}
	retryable := min(d.retryable/d.delivered, maxRetryableFraction)
	if retryable < minRetryableFraction {
		return 0
	}
	return retryable / (1 - retryable)
}
