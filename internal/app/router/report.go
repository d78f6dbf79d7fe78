package router

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
)

// recordSaturation records the instance's saturation at a request's arrival.
func (e *executor) recordSaturation(saturation float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saturationSum += saturation
	e.saturationCount++
}

// recordRun records how long a request held a slot, whether it must be retried, and whether the instance can be reached.
func (e *executor) recordRun(req *runRequest, res runResult, held time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if res.Arrived {
		e.delivered++
	}
	if res.retryable(req.Idempotent) {
		e.retryable++
	}
	switch {
	case res.Reason == call.NoUpstream:
		e.unreachableAt = now
		e.warmUp.suspect("no connection")
		return
	case res.Reason == call.UpstreamShed:
		return
	case res.Reason == call.AnswerLost:
		e.warmUp.recheck()
	case res.Outcome == call.Whole:
		e.unreachableAt = time.Time{}
	}
	total := e.holdTimes[req.Route]
	e.holdTimes[req.Route] = allot.HoldTime{Route: req.Route, Seconds: total.Seconds + held.Seconds(), Count: total.Count + 1}
}

// retryable reports whether the request reached the instance without a useful result and may be retried.
func (res *runResult) retryable(idempotent bool) bool {
	switch {
	case res.Reason == call.UpstreamShed:
		return true
	case !idempotent:
		return false
	case res.Reason == call.AnswerLost:
		return true
	default:
		return res.Outcome == call.Whole && res.Status == statusFailed && !res.SubcallFailed
	}
}

// unreachableTTL is how long an instance that accepted no connection counts as having no slots: after it, requests find out whether the
// instance is back.
const unreachableTTL = time.Second

// report returns what was observed of the instance since the last call: its saturation at requests' arrival, its usable slots, and the hold
// times and delivery counts of its requests.
func (e *executor) report(leaving bool, now time.Time) (demand.Service, collect.Work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	service := e.serviceReport(leaving, now)
	work := collect.Work{HoldTimes: slices.Collect(maps.Values(e.holdTimes)), Delivered: e.delivered, Retryable: e.retryable}
	e.saturationSum, e.saturationCount, e.delivered, e.retryable = 0, 0, 0, 0
	clear(e.holdTimes)
	return service, work
}

// serviceReport returns the saturation and the usable slots. The saturation of an instance that is cold or must receive no requests says nothing
// about the load of its service, so it isn't counted.
func (e *executor) serviceReport(leaving bool, now time.Time) demand.Service {
	if e.zoneDrained || e.warmUp.down.Load() {
		return demand.Service{}
	}
	_, instanceLeaving := e.stated.leavingFor(e.current.Incarnation(), now)
	usable := e.known && !leaving && !instanceLeaving && e.drainingSince.IsZero() && now.Sub(e.unreachableAt) > unreachableTTL
	service := demand.Service{}
	if usable {
		service.Slots = e.gate.UsableSlots(now)
	}
	if e.warmUp.coldStarts(now) > 0 {
		return service
	}
	service.Instances, service.Saturation = 1, e.gate.Fullness(now, waitUnit)
	if e.saturationCount > 0 {
		service.Saturation = e.saturationSum / float64(e.saturationCount)
	}
	return service
}

// waitUnit is the expected wait for a slot that raises saturation by 1: a chain of ten sub-calls may wait for half a second in total, and
// callers accept response times of several times that.
const waitUnit = 50 * time.Millisecond
