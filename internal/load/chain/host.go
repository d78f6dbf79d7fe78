package chain

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/pressure"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// host is an instance with its daemon's decisions.
type host struct {
	fleet    *fleet
	index    int
	instance *instance
	gate     *admission.Gate
	placer   *placing.Placer
	needs    *budget.Needs
	// subcallNeeds estimates the runs that the upstream's sub-calls need for each operation.
	subcallNeeds *budget.Needs
	throttles    *pressure.Throttles
}

// request is one call at one hop of its path.
type request struct {
	operation    *Operation
	organisation int
	hop          int
	deadline     time.Time
	// runs counts the upstream runs that the request has caused at all hops.
	runs *int
}

func (r request) service() string { return r.operation.Path[r.hop] }

func (r request) last() bool { return r.hop == len(r.operation.Path)-1 }

// answer is the response to a request.
type answer struct {
	ok     bool
	notRun bool
	// subcallFailed means that the upstream reported a failed sub-call; no hop retries that.
	subcallFailed bool
	pressure      float64
	retryAfter    time.Duration
	unusedRuns    int
	load          call.Load
}

func (f *fleet) newHost(s Service) *host {
	h := &host{
		fleet:        f,
		index:        len(f.hosts),
		instance:     &instance{clock: &f.clock, random: f.random, service: s, slowFactor: 1},
		needs:        budget.NewNeeds(),
		subcallNeeds: budget.NewNeeds(),
		placer:       placing.New("", placing.WithKind(f.policy.Placing), placing.WithRandIntN(f.random.IntN)),
		throttles:    pressure.New(pressure.WithRand(f.random.Float64)),
	}
	maxLimit := int(float64(s.Slots) * f.policy.Ceiling)
	h.gate = admission.New(
		limit.New(f.policy.Limit, maxLimit),
		admission.WithQueue(queue.New[*admission.Ticket](f.policy.Queue)),
		admission.WithWait(f.policy.Wait),
		admission.WithRand(f.random.Float64),
	)
	return h
}

// handleCaller handles a caller's request at the ingress: first the rate limit, then the throttles.
func (h *host) handleCaller(r request, done func(answer)) {
	handleDecision := func(admitted bool) {
		if !admitted {
			done(answer{notRun: true})
			return
		}
		h.applyThrottles(r, done)
	}
	if h.fleet.lentRates != nil {
		h.fleet.lentRates.spend(h, r.organisation, handleDecision)
		return
	}
	handleDecision(h.fleet.buckets[r.organisation].spend(h.fleet.clock.Now))
}

// applyThrottles rejects a request within its rate if a throttle does, and dispatches it otherwise.
func (h *host) applyThrottles(r request, done func(answer)) {
	organisation := h.fleet.organisations[r.organisation]
	if h.fleet.policy.Throttles {
		if retryAfter, ok := h.throttles.Admit(h.fleet.clock.Now, organisation, r.operation.Name); !ok {
			done(answer{notRun: true, retryAfter: retryAfter})
			return
		}
	}
	h.dispatch(r, budget.New(h.fleet.policy.Budget), func(a answer) {
		h.throttles.Observe(h.fleet.clock.Now, organisation, r.operation.Name, a.pressure, a.retryAfter)
		done(a)
	})
}

// attempts tracks the attempts of one request at one hop.
type attempts struct {
	host       *host
	request    request
	account    *budget.Account
	triedHosts []string
	delivered  bool
	last       answer
	done       func(answer)
}

// drawRetryInterval is how often a sub-call that got no runs checks whether its concurrent sub-calls have returned some.
const drawRetryInterval = time.Millisecond

func (h *host) dispatch(r request, account *budget.Account, done func(answer)) {
	a := &attempts{host: h, request: r, account: account, done: done, last: answer{notRun: true, pressure: 1}}
	a.next()
}

func (a *attempts) next() {
	f, now := a.host.fleet, a.host.fleet.clock.Now
	if len(a.triedHosts) == attemptsPerHop || !now.Before(a.request.deadline) {
		a.finish()
		return
	}
	runs, wait := a.drawRuns()
	if wait != nil {
		f.clock.After(drawRetryInterval, a.next)
		return
	}
	if runs == 0 {
		a.finish()
		return
	}
	placement, ok := a.host.placer.Pick(now, a.request.service(), f.hostsByService[a.request.service()], a.triedHosts)
	if !ok {
		a.account.Settle(runs, runs)
		a.finish()
		return
	}
	a.triedHosts = append(a.triedHosts, placement.Host.Host)
	target := f.hostsByName[placement.Host.Host]
	f.clock.After(hostDelay, func() {
		target.serve(a.request, runs, func(response answer) {
			f.clock.After(hostDelay, func() { a.handleResponse(placement, runs, response) })
		})
	})
}

// drawRuns takes runs for one attempt from the account; without a budget, an attempt may cause any number.
func (a *attempts) drawRuns() (int, <-chan struct{}) {
	if a.host.fleet.policy.Budget == 0 {
		return unlimitedRuns, nil
	}
	return a.account.Draw(a.host.needs.Expect(a.request.operation.Name+a.request.service(), a.request.hop))
}

// unlimitedRuns is the number of runs granted to an attempt without a budget.
const unlimitedRuns = 1 << 30

func (a *attempts) handleResponse(placement placing.Placement, runs int, response answer) {
	now := a.host.fleet.clock.Now
	name := a.request.operation.Name + a.request.service()
	a.host.placer.Settle(now, placement, name, response.placingResult(), response.load)
	a.account.Settle(runs, response.unusedRuns)
	if response.ok || response.subcallFailed {
		a.host.needs.Learn(name, runs, runs-response.unusedRuns, response.ok)
	}
	a.last = response
	a.delivered = a.delivered || !response.notRun
	if response.ok || response.subcallFailed {
		a.finish()
		return
	}
	a.next()
}

func (a *attempts) finish() {
	a.last.notRun = a.last.notRun && !a.delivered
	a.done(a.last)
}

func (a answer) placingResult() placing.Result {
	switch {
	case a.ok:
		return placing.Served
	case a.notRun:
		return placing.Declined
	case a.pressure > 0:
		return placing.Inconclusive
	default:
		return placing.NoResponse
	}
}

// execution is one attempt of a request at the host of an instance.
type execution struct {
	host    *host
	request request
	ticket  admission.Ticket
	runs    int
	started time.Time
	// subcallsStarted is when the instance's own work was done and its sub-calls began.
	subcallsStarted time.Time
	work            *work
	ended           bool
	done            func(answer)
}

func (h *host) serve(r request, runs int, done func(answer)) {
	f := h.fleet
	e := &execution{host: h, request: r, runs: runs, done: done}
	e.ticket = admission.Ticket{
		Organisation: f.organisations[r.organisation], Operation: r.operation.Name, Weight: f.weights[r.organisation],
		Priority: r.operation.Priority, Deadline: r.deadline, Waiter: e,
	}
	switch d := h.gate.Arrive(f.clock.Now, &e.ticket); d.Verdict {
	case admission.Run:
		e.run()
	case admission.Refuse:
		e.refuse(d)
	case admission.Wait:
		f.clock.At(e.ticket.StartBy(), func() {
			if d, removed := h.gate.Leave(f.clock.Now, &e.ticket); removed {
				e.refuse(d)
			}
		})
	}
}

// Decide implements admission.Waiter. It must not call the gate, so it handles the decision in a separate event.
func (e *execution) Decide(d admission.Decision) {
	e.host.fleet.clock.After(0, func() {
		if d.Verdict == admission.Run {
			e.run()
			return
		}
		e.refuse(d)
	})
}

func (e *execution) refuse(d admission.Decision) {
	e.done(answer{notRun: true, pressure: 1, retryAfter: d.RetryAfter, unusedRuns: e.runs, load: e.host.gate.Load()})
}

func (e *execution) run() {
	f := e.host.fleet
	e.started = f.clock.Now
	e.work = e.host.instance.accept(e.sendSubcalls)
	if e.work == nil {
		e.host.gate.Settle(f.clock.Now, &e.ticket, admission.Result{Shed: true})
		e.refuse(admission.Decision{})
		return
	}
	f.countRun(e.request)
	f.clock.At(e.request.deadline, func() { e.end(answer{pressure: 1}) })
}

// end ends the execution once, when its work is done or its deadline has passed, which cancels the work.
func (e *execution) end(a answer) {
	if e.ended {
		return
	}
	e.ended = true
	now := e.host.fleet.clock.Now
	e.host.instance.release(e.work)
	e.host.gate.Settle(now, &e.ticket, admission.Result{Own: e.ownTime(now)})
	if e.host.fleet.responseLost(e.request) {
		a = answer{}
	}
	a.load = e.host.gate.Load()
	e.done(a)
}

// ownTime returns the instance's own time. As in the daemon, it excludes sub-calls that are still open at the deadline.
func (e *execution) ownTime(now time.Time) time.Duration {
	if e.subcallsStarted.IsZero() {
		return now.Sub(e.started)
	}
	return e.subcallsStarted.Sub(e.started)
}
