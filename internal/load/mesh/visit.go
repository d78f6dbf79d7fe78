package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

const (
	maxQueueWait = 250 * time.Millisecond
	// A sub-call waits in the queue for at most subcallWaitFraction of its remaining time.
	subcallWaitFraction = 0.6
	limitFraction       = 0.95
	responseReserve     = 10 * time.Millisecond
	subcallWeight       = 8
	declineDelay        = time.Millisecond
)

func newGate(slots int, pacer *admission.Pacer, random func() float64) *admission.Gate {
	usable := limit.NewFixed(max(int(float64(slots)*limitFraction), 1))
	return admission.New(usable, admission.WithWait(maxQueueWait), admission.WithPacer(pacer), admission.WithRand(random))
}

// execution is one attempt of a request at the host of an instance.
type execution struct {
	host    *host
	request *request
	retry   bool
	done    func(answer)

	// gate is the gate of the host's daemon at the arrival; a daemon that has restarted has another one.
	gate       *admission.Gate
	ticket     admission.Ticket
	deadline   time.Time
	admitted   bool
	started    time.Time
	ended      bool
	subcalls   []*request
	lineageRun *lineage.Run
	// sequence numbers the executions in the order of their starts.
	sequence int
	// locked is the content's fingerprint while no other request with it may run on the instance.
	locked quarantine.Fingerprint
}

// Decide receives the gate's decision on an execution that waited in its queue.
func (e *execution) Decide(d admission.Decision) {
	e.host.fleet.clock.After(0, func() { e.handleDecision(d) })
}

func (e *execution) arrive() {
	f, req := e.host.fleet, e.request
	if e.ended || req.finished {
		return
	}
	now := f.now()
	e.gate = e.host.gate
	if e.host.unreachable() {
		e.end(answer{outcome: notRun, result: choice.Unreachable, retryAfter: declinedRetryAfter})
		return
	}
	e.deadline = req.deadline.Add(-responseReserve)
	if !e.screen() {
		return
	}
	e.ticket = admission.Ticket{
		Operation: req.route.Name, Weight: 1, Priority: priority(req.root), Organisation: req.organisation, Deadline: e.deadline, Waiter: e,
	}
	if req.subcall {
		e.ticket.Priority++
		if f.without(mechanism.RankedSubcalls) {
			e.ticket.Priority = call.Nested
		}
		e.ticket.Organisation, e.ticket.Weight = "", subcallWeight
		e.ticket.Patience = time.Duration(float64(req.deadline.Sub(now)) * subcallWaitFraction)
	}
	e.host.sampleSaturation()
	d := e.gate.Arrive(now, &e.ticket)
	if d.Verdict != admission.Wait {
		e.handleDecision(d)
		return
	}
	f.clock.At(e.ticket.StartBy(), func() {
		if d, removed := e.gate.Leave(f.now(), &e.ticket); removed {
			e.handleDecision(d)
		}
	})
}

func (e *execution) handleDecision(d admission.Decision) {
	if d.Verdict == admission.Run {
		e.run()
		return
	}
	e.end(answer{outcome: notRun, result: choice.Refused, retryAfter: d.RetryAfter})
}

// priority returns the queue priority of callers' requests on the root route, from which that of their sub-calls is derived.
func priority(root *Route) call.Priority {
	return call.Background + call.Priority(2-min(root.Rank.Organisation, 2))
}

// run runs the request on the instance.
func (e *execution) run() {
	f := e.host.fleet
	e.admitted, e.started = true, f.now()
	if e.ended {
		e.gate.Settle(f.now(), &e.ticket, admission.Result{Withdrawn: true})
		return
	}
	if e.retry {
		f.result.sentAt(e.request.route.Service, f.now().Sub(f.start)).Retries++
	}
	for _, c := range e.request.counts {
		c.Runs++
		if e.retry {
			c.Retries++
		}
	}
	f.started++
	e.sequence = f.started
	e.host.active[e] = true
	e.host.countLimited()
	if e.host.receive() {
		return
	}
	e.lineageRun = &lineage.Run{Route: e.request.route.Name, Root: e.request.root.Name, Priority: e.ticket.Priority, Retry: e.retry}
	e.host.runs.Begin(e.lineageRun, e.deadline)
	e.host.delivered++
	if f.random.Float64() < f.faultLevel(e.host.instance.Service, func(fault *Fault) float64 { return fault.DeclineFraction }) {
		f.clock.After(declineDelay, func() {
			e.end(answer{outcome: notRun, result: choice.Declined, retryAfter: declinedRetryAfter, delivered: true})
		})
		return
	}
	f.clock.At(e.deadline, func() { e.end(answer{outcome: failed, result: choice.Lost, delivered: true}) })
	if e.request.route.Fatal {
		f.clock.After(fatalWork, e.crashFatally)
		return
	}
	work := e.host.work(e.request.route)
	if len(e.request.route.Subcalls) == 0 {
		f.clock.After(work, e.complete)
		return
	}
	f.clock.After(work/2, func() { e.runSubcalls(0, 0, func() { f.clock.After(work/2, e.complete) }) })
}

func (e *execution) complete() {
	f := e.host.fleet
	if f.random.Float64() < f.faultLevel(e.host.instance.Service, func(fault *Fault) float64 { return fault.LossFraction }) {
		e.end(answer{outcome: failed, result: choice.Lost, delivered: true, responseLost: true})
		return
	}
	if !e.ended {
		e.host.quarantine.Succeeded(e.request.quarantineContent())
	}
	e.end(answer{outcome: succeeded, result: choice.Served, delivered: true})
}

// runSubcalls sends the route's remaining sub-calls, from the entry index on, of which sent are already made, and then calls
// then.
func (e *execution) runSubcalls(index, sent int, then func()) {
	subcalls := e.request.route.Subcalls
	switch {
	case e.ended:
		return
	case index == len(subcalls):
		then()
		return
	case sent == subcalls[index].Count:
		e.runSubcalls(index+1, 0, then)
		return
	}
	subcall := subcalls[index]
	if !subcall.Concurrent {
		e.sendSubcall(subcall.Route, func() { e.runSubcalls(index, sent+1, then) })
		return
	}
	pending := subcall.Count
	for range subcall.Count {
		e.sendSubcall(subcall.Route, func() {
			if pending--; pending == 0 {
				e.runSubcalls(index+1, 0, then)
			}
		})
	}
}

func (e *execution) sendSubcall(route string, then func()) {
	f := e.host.fleet
	r := f.routesByName[route]
	req := &request{route: r, subcall: true, content: e.subcallContent(r), counts: e.request.counts, deadline: earlier(e.deadline, f.now().Add(r.Timeout))}
	parent := e.host.runs.Parent(route, req.deadline)
	req.root, req.retry = f.routesByName[parent.Root], parent.Retry
	req.done = func(a answer) {
		if a.outcome == succeeded {
			then()
			return
		}
		e.host.runs.CallFailed(parent, route, f.now())
		e.end(answer{outcome: failed, result: choice.Failed, delivered: true})
	}
	e.subcalls = append(e.subcalls, req)
	e.host.serve(req)
}

func (e *execution) end(a answer) {
	if e.ended {
		return
	}
	e.ended = true
	if a.delivered {
		e.host.readLimit()
		e.classifyFailure(&a)
	}
	e.release(a.result)
	a.load = e.gate.Load()
	a.load.Limit = e.gate.UsableSlots(e.host.fleet.now())
	e.done(a)
}

// classifyFailure determines whether a failed sub-call caused the failure, and counts the request if it must be retried.
func (e *execution) classifyFailure(a *answer) {
	a.subcallFailed = a.result == choice.Failed && e.lineageRun != nil && e.host.runs.CausedByCall(e.lineageRun, e.host.fleet.now())
	mustRetry := a.responseLost || a.result == choice.Failed && !a.subcallFailed
	if a.result == choice.Declined || mustRetry && !e.request.route.AtMostOnce {
		e.host.retryable++
	}
}

// cancel ends the execution, since the sender no longer waits for it.
func (e *execution) cancel() {
	if e.ended {
		return
	}
	e.ended = true
	e.release(choice.Withdrawn)
}

// release cancels the running sub-calls and returns the slot, or leaves the queue.
func (e *execution) release(result choice.Result) {
	now := e.host.fleet.now()
	delete(e.host.active, e)
	e.unlock()
	for _, req := range e.subcalls {
		req.cancel()
	}
	if !e.admitted {
		if e.gate != nil {
			e.gate.Leave(now, &e.ticket)
		}
		return
	}
	if e.lineageRun != nil {
		e.host.runs.End(e.lineageRun, result == choice.Served)
	}
	took := now.Sub(e.started)
	e.gate.Settle(now, &e.ticket, admission.Result{Own: took, Shed: result == choice.Declined, Withdrawn: result == choice.Withdrawn})
	if result != choice.Declined {
		e.host.recordHoldTime(e.request.route.Name, took)
	}
}
