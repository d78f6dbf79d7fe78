package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

const (
	queueTime      = 250 * time.Millisecond
	nestedPatience = 0.6
	slotsPart      = 0.95
	answerTime     = 10 * time.Millisecond
	nestedWeight   = 8
	turnAwayTime   = time.Millisecond
)

func newGate(slots int) *admission.Gate {
	return admission.New(limit.NewFixed(max(int(float64(slots)*slotsPart), 1)), admission.WithWait(queueTime))
}

// visit is one request at the host of an instance.
type visit struct {
	host    *host
	request *request
	repeat  bool
	done    func(answer)

	ticket   admission.Ticket
	deadline time.Time
	entered  bool
	started  time.Time
	over     bool
	calls    []*request
	lineage  *lineage.Run
}

// Decide tells a visit that waited what became of it.
func (v *visit) Decide(d admission.Decision) {
	v.host.fleet.clock.After(0, func() { v.decided(d) })
}

func (v *visit) enter() {
	f, q := v.host.fleet, v.request
	if v.over || q.ended {
		return
	}
	now := f.now()
	if v.host.gone() {
		v.end(answer{kind: notRun, ending: choice.Unreachable, retryAfter: shedWait})
		return
	}
	v.deadline = q.deadline.Add(-answerTime)
	v.ticket = admission.Ticket{
		Operation: q.route.Name, Weight: 1, Priority: priority(q.root), Organisation: q.organisation, Deadline: v.deadline, Waiter: v,
	}
	if q.nested {
		v.ticket.Priority++
		if f.without(mechanism.RankedSubcalls) {
			v.ticket.Priority = call.Nested
		}
		v.ticket.Organisation, v.ticket.Weight = "", nestedWeight
		v.ticket.Patience = time.Duration(float64(q.deadline.Sub(now)) * nestedPatience)
	}
	v.host.found()
	d := v.host.gate.Arrive(now, &v.ticket)
	if d.Verdict != admission.Wait {
		v.decided(d)
		return
	}
	f.clock.At(v.ticket.StartBy(), func() {
		if d, left := v.host.gate.Leave(f.now(), &v.ticket); left {
			v.decided(d)
		}
	})
}

func (v *visit) decided(d admission.Decision) {
	if d.Verdict == admission.Run {
		v.run()
		return
	}
	v.end(answer{kind: notRun, ending: choice.Refused, retryAfter: d.RetryAfter})
}

// priority is that of a caller's request on the route, and of the calls made for it.
func priority(root *Route) call.Priority {
	return call.Background + call.Priority(2-min(root.Rank.Organisation, 2))
}

// run is the visit's time at the instance.
func (v *visit) run() {
	f := v.host.fleet
	v.entered, v.started = true, f.now()
	if v.over {
		v.host.gate.Settle(f.now(), &v.ticket, admission.Result{Withdrawn: true})
		return
	}
	if v.repeat {
		f.result.sent(v.request.route.Service, f.now().Sub(f.start)).Retries++
	}
	for _, t := range v.request.counts {
		t.Runs++
		if v.repeat {
			t.Repeats++
		}
	}
	v.lineage = &lineage.Run{Route: v.request.route.Name, Root: v.request.root.Name, Priority: v.ticket.Priority, Retry: v.repeat}
	v.host.runs.Begin(v.lineage, v.deadline)
	v.host.seen++
	if f.random.Float64() < f.trouble(v.host.instance.Service, func(t *Trouble) float64 { return t.Sheds }) {
		f.clock.After(turnAwayTime, func() {
			v.end(answer{kind: notRun, ending: choice.Declined, retryAfter: shedWait, arrived: true})
		})
		return
	}
	f.clock.At(v.deadline, func() { v.end(answer{kind: failed, ending: choice.Lost, arrived: true}) })
	work := v.host.work(v.request.route)
	if len(v.request.route.Calls) == 0 {
		f.clock.After(work, v.served)
		return
	}
	f.clock.After(work/2, func() { v.call(0, 0, func() { f.clock.After(work/2, v.served) }) })
}

func (v *visit) served() {
	f := v.host.fleet
	if f.random.Float64() < f.trouble(v.host.instance.Service, func(t *Trouble) float64 { return t.Loses }) {
		v.end(answer{kind: failed, ending: choice.Lost, arrived: true, lost: true})
		return
	}
	v.end(answer{kind: whole, ending: choice.Served, arrived: true})
}

// call makes the calls of the route from the given one on, and then the rest.
func (v *visit) call(which, made int, then func()) {
	calls := v.request.route.Calls
	switch {
	case v.over:
		return
	case which == len(calls):
		then()
		return
	case made == calls[which].Times:
		v.call(which+1, 0, then)
		return
	}
	c := calls[which]
	if !c.Together {
		v.ask(c.Route, func() { v.call(which, made+1, then) })
		return
	}
	left := c.Times
	for range c.Times {
		v.ask(c.Route, func() {
			if left--; left == 0 {
				v.call(which+1, 0, then)
			}
		})
	}
}

func (v *visit) ask(route string, then func()) {
	f := v.host.fleet
	r := f.routes[route]
	q := &request{route: r, nested: true, counts: v.request.counts, deadline: earlier(v.deadline, f.now().Add(r.Timeout))}
	parent := v.host.runs.Parent(route, q.deadline)
	q.root, q.repeat = f.routes[parent.Root], parent.Retry
	q.done = func(a answer) {
		if a.kind == whole {
			then()
			return
		}
		v.host.runs.CallFailed(parent, route, f.now())
		v.end(answer{kind: failed, ending: choice.Failed, arrived: true})
	}
	v.calls = append(v.calls, q)
	v.host.serve(q)
}

func (v *visit) end(a answer) {
	if v.over {
		return
	}
	v.over = true
	if a.arrived {
		v.judge(&a)
	}
	v.leave(a.ending)
	a.load = v.host.gate.Load()
	v.done(a)
}

// judge finds out whether a call explains the failure, and counts what has to be sent again.
func (v *visit) judge(a *answer) {
	a.callFailed = a.ending == choice.Failed && v.host.runs.CausedByCall(v.lineage, v.host.fleet.now())
	inVain := a.lost || a.ending == choice.Failed && !a.callFailed
	if a.ending == choice.Declined || inVain && !v.request.route.Once {
		v.host.wasted++
	}
}

// cancel ends the work of a caller that is gone.
func (v *visit) cancel() {
	if v.over {
		return
	}
	v.over = true
	v.leave(choice.Withdrawn)
}

// leave gives the slot back and ends the calls that are going on.
func (v *visit) leave(e choice.Result) {
	now := v.host.fleet.now()
	for _, q := range v.calls {
		q.cancel()
	}
	if !v.entered {
		v.host.gate.Leave(now, &v.ticket)
		return
	}
	v.host.runs.End(v.lineage, e == choice.Served)
	took := now.Sub(v.started)
	v.host.gate.Settle(now, &v.ticket, admission.Result{Own: took, Shed: e == choice.Declined, Withdrawn: e == choice.Withdrawn})
	if e != choice.Declined {
		v.host.hold(v.request.route.Name, took)
	}
}
