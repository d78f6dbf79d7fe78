package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/offers"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// kind is how a request ended.
type kind uint8

const (
	whole kind = iota
	notRun
	failed
)

// answer is what a request brought back.
type answer struct {
	kind       kind
	ending     choice.Result
	retryAfter time.Duration
	load       call.Load
	// arrived means that an instance has seen the request, and callFailed that a call of its run failed.
	arrived, callFailed bool
	// lost means that the instance has run the request and its answer was lost.
	lost bool
}

// request is one request at the daemon of a caller or of an instance that calls.
type request struct {
	route        *Route
	root         *Route
	organisation string
	deadline     time.Time
	nested       bool
	repeat       bool
	counts       []*Tally
	done         func(answer)
	// ended is set once nobody waits for the answer any more.
	ended bool
	// running ends the work that is going on for the request.
	running func()

	course *offers.Tracker
	last   answer
}

// cancel ends a request that nobody waits for any more.
func (q *request) cancel() {
	if q.ended {
		return
	}
	q.ended = true
	if q.running != nil {
		q.running()
	}
}

func (q *request) finish(a answer) {
	if q.ended {
		return
	}
	q.ended = true
	q.done(a)
}

func (q *request) lane() shed.Class {
	return shed.Class{Route: q.root.Name, Service: q.root.Service, Rank: q.root.Rank}
}

// serve lets the request in and places it.
func (h *host) serve(q *request) {
	now := h.fleet.now()
	if !q.nested {
		if v := h.shedder.Admit(q.lane(), q.route.Target, now); !v.Admitted {
			q.finish(answer{kind: notRun, retryAfter: v.RetryAfter})
			return
		}
	}
	if q.repeat {
		h.repeats.Charge(q.route.Service, now)
	} else {
		h.repeats.Earn(q.route.Service, now)
		h.fleet.result.sent(q.route.Service, now.Sub(h.fleet.start)).Requests++
	}
	q.course = offers.New(q.route.Attempts, offers.Without(h.fleet.scene.Without))
	q.last = answer{kind: notRun, retryAfter: shedWait}
	h.place(q)
}

// shedWait is when to come back to a service that turns requests away.
const shedWait = 250 * time.Millisecond

// place offers the request to the next instance.
func (h *host) place(q *request) {
	now := h.fleet.now()
	if q.ended {
		return
	}
	if !q.course.CanRetry() || !now.Before(q.deadline) || q.course.Delivered() && !h.repeats.Spend(q.route.Service, priority(q.root), now) {
		q.finish(q.last)
		return
	}
	from, behind := q.course.Candidates(h.fleet.instances[q.route.Service])
	i, ok := h.chooser.Pick(from, behind, q.deadline.Sub(now), now)
	if !ok {
		q.finish(q.last)
		return
	}
	h.offer(q, i)
}

// offer hands the request to the host of the instance.
func (h *host) offer(q *request, i routing.Instance) {
	sent := h.fleet.now()
	repeat := q.repeat || q.course.Delivered()
	to := h.fleet.byID[i.ID]
	v := &visit{host: to, request: q, repeat: repeat}
	over := false
	settle := func(a answer) {
		if over {
			return
		}
		over = true
		if a.callFailed {
			a.ending = choice.Withdrawn
		}
		h.chooser.Record(i, a.ending, h.fleet.now().Sub(sent), a.load, h.fleet.now())
	}
	q.running = func() {
		settle(answer{ending: choice.Withdrawn})
		v.cancel()
	}
	v.done = func(a answer) {
		h.fleet.clock.After(oneWay, func() {
			settle(a)
			h.settled(q, i.ID, a)
		})
	}
	for _, t := range q.counts {
		if i.Zone != h.instance.Zone {
			t.CrossZone++
		}
	}
	h.fleet.clock.After(oneWay, v.enter)
}

// settled takes in how an offer ended.
func (h *host) settled(q *request, id string, a answer) {
	if q.ended {
		return
	}
	q.course.Record(id, a.ending, a.arrived)
	if q.last.kind == notRun || a.kind != notRun {
		q.last = a
	}
	if a.kind == whole || a.kind == failed && (q.route.Once || a.callFailed && !h.fleet.without(mechanism.CallFailures) || !a.lost && a.ending != choice.Failed) {
		q.finish(q.last)
		return
	}
	h.place(q)
}
