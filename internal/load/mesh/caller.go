package mesh

import (
	"fmt"
	"time"
)

// scheduleArrivals schedules callers' requests on the route as a Poisson process that ends at until.
func (f *fleet) scheduleArrivals(r *Route, until time.Time) {
	rate := r.ArrivalRate * max(f.faultLevel("", func(fault *Fault) float64 { return fault.SurgeFactor }), 1)
	f.clock.After(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now().After(until) {
			return
		}
		f.sendCallerRequest(r)
		f.scheduleArrivals(r, until)
	})
}

// organisations is the number of organisations, all with the same load.
const organisations = 8

// A caller retries only if Retry-After is at most its remaining time divided by maxRetryWaitDivisor.
const maxRetryWaitDivisor = 3

// sendCallerRequest sends one caller's request, which the caller retries at most once.
func (f *fleet) sendCallerRequest(r *Route) {
	start := f.now()
	counts := f.result.countsOf(r.Name, f.second())
	for _, c := range counts {
		c.Requests++
	}
	content := f.contentOf(r)
	f.sendToDaemon(r, content, start, counts, func(a answer) {
		remaining := r.Patience - f.now().Sub(start)
		if a.outcome == succeeded || a.outcome == failed && r.AtMostOnce || a.retryAfter > remaining/maxRetryWaitDivisor {
			countOutcome(r, counts, a, f.now().Sub(start))
			return
		}
		f.clock.After(a.retryAfter, func() {
			f.sendToDaemon(r, content, start, counts, func(a answer) { countOutcome(r, counts, a, f.now().Sub(start)) })
		})
	})
}

// reconnectDelay is how long a caller waits whose daemon accepts no connections.
const reconnectDelay = 500 * time.Millisecond

func (f *fleet) sendToDaemon(r *Route, content string, start time.Time, counts []*Counts, done func(answer)) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	f.clock.After(clientDelay, func() {
		if f.now().Before(h.daemonDownUntil) {
			f.clock.After(clientDelay, func() { done(answer{outcome: notRun, retryAfter: reconnectDelay}) })
			return
		}
		req := &request{
			route: r, root: r, organisation: fmt.Sprint(f.random.IntN(organisations)), deadline: earlier(f.now().Add(r.Timeout), start.Add(r.Patience)), counts: counts,
			content: content, done: func(a answer) { f.clock.After(clientDelay, func() { done(a) }) },
		}
		if r.Fatal {
			req.organisation = "fatal"
		}
		h.serve(req)
	})
}

func countOutcome(r *Route, counts []*Counts, a answer, took time.Duration) {
	for _, c := range counts {
		switch {
		case a.outcome == succeeded && took <= r.Target:
			c.InTime++
		case a.outcome == succeeded:
			c.Late++
		case a.outcome == notRun:
			c.NotRun++
		default:
			c.Failed++
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
