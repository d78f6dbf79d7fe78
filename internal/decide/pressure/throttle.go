package pressure

import (
	"math"
	"time"
)

// throttle compares the recent requests with the recent successes, and admits a multiple of the successes.
//
// All counts decay. Pending requests are expected to end as the answered ones did: if they counted as failures, part of a burst at an
// idle service would be rejected because of a refusal long past.
type throttle struct {
	succeeded  float64
	failed     float64
	rejected   float64
	pending    float64
	updatedAt  time.Time
	halfLife   time.Duration
	retryAfter time.Duration
	// failedAt is the time of the last failure, and successStreak counts the successes since.
	failedAt      time.Time
	successStreak int
}

const (
	// successMultiplier is the ratio of admitted requests to recent successes. It bounds the work that may fail deep in the chain during
	// overload, and lets admissions recover after it: the successes then double every half-life. With a lower value, failures of two in
	// five requests that don't depend on the load would cause lasting rejections.
	successMultiplier = 2
	// minHalfLife and maxHalfLife bound the half-life of the counts. A long one causes rejections after the overload has ended; a short one
	// forgets rare requests before they add up.
	minHalfLife = 120 * time.Millisecond
	maxHalfLife = time.Second
	// halfLifeRequests is the number of requests that one half-life covers, within these bounds.
	halfLifeRequests = 6
	// freeRequests is the number of recent requests that are admitted without any success, so that rare requests are never rejected and
	// the recovery of a service is noticed.
	freeRequests = 2
	// minFailures is the number of recent failures from which all excess requests are rejected. With fewer the rejections are in proportion:
	// rejected requests are no evidence that the next ones would fail, and would otherwise cause rejections after the overload for as long
	// as callers retry.
	minFailures = 1
	// recoveryStreak is the number of consecutive successes, with no failure for a half-life, after which the throttle is removed. During
	// overload half of the admitted requests fail, so that such a streak comes by chance once in 16; the half-life keeps simultaneous
	// responses to requests accepted earlier from removing it.
	recoveryStreak = 4
	// minRetryAfter and maxRetryAfter bound the Retry-After delay of rejected requests.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

func (t *throttle) decay(now time.Time) {
	elapsed := now.Sub(t.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(t.halfLife))
	t.succeeded *= factor
	t.failed *= factor
	t.rejected *= factor
	t.pending *= factor
	t.updatedAt = now
}

// requests returns the decayed count of all requests.
func (t *throttle) requests() float64 { return t.succeeded + t.failed + t.rejected + t.pending }

// adjustHalfLife moves the half-life towards the time in which halfLifeRequests arrive.
func (t *throttle) adjustHalfLife() {
	requestRatio := t.requests() * math.Ln2 / halfLifeRequests
	adjusted := time.Duration(float64(t.halfLife) * (1 + halfLifeWeight*(1/max(requestRatio, minRequestRatio)-1)))
	t.halfLife = min(max(adjusted, minHalfLife), maxHalfLife)
}

// halfLifeWeight is the weight of one request in the half-life, and minRequestRatio bounds its growth by one request.
const (
	halfLifeWeight  = 0.1
	minRequestRatio = 0.5
)

// recordResponse records the result of an admitted request; failed is the fraction of it that counts as failed, 0 to 1.
func (t *throttle) recordResponse(now time.Time, failed float64) {
	t.pending = max(0, t.pending-1)
	t.failed += failed
	t.succeeded += 1 - failed
	if failed > 0 {
		t.failedAt, t.successStreak = now, 0
		return
	}
	t.successStreak++
}

// rejectProbability returns the probability with which the next request is rejected.
func (t *throttle) rejectProbability() float64 {
	failureRate := t.failed / (t.failed + t.succeeded + 1)
	expectedSuccesses := t.succeeded + t.pending*(1-failureRate)
	requests := t.requests()
	excess := (requests - successMultiplier*expectedSuccesses - freeRequests) / (requests + 1)
	return max(0, excess) * min(1, t.failed/minFailures)
}

// recovered reports whether the overload has ended: nearly all requests succeed again, or nothing has failed for a while and the admitted
// requests succeeded.
func (t *throttle) recovered(now time.Time) bool {
	if requests := t.requests(); requests > freeRequests && t.succeeded >= requests*recoveredFraction {
		return true
	}
	return t.successStreak >= recoveryStreak && now.Sub(t.failedAt) >= t.halfLife
}

// recoveredFraction is the fraction of requests that must have succeeded; the rest allows for pending ones.
const recoveredFraction = 0.9
