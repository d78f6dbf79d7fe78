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

// host is an instance with the daemon's decisions beside it.
type host struct {
	fleet    *fleet
	number   int
	instance *instance
	gate     *admission.Gate
	placer   *placing.Placer
	needs    *budget.Needs
	// below is what the upstream's own calls need for each operation.
	below *budget.Needs
	doors *pressure.Throttles
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

// answer is what comes back for a request.
type answer struct {
	ok     bool
	notRun bool
	// failed means that the upstream answered that one of its own calls failed; no hop repeats that.
	failed   bool
	pressure float64
	back     time.Duration
	left     int
	load     call.Load
}

func (f *fleet) newHost(s Service) *host {
	h := &host{
		fleet:    f,
		number:   len(f.all),
		instance: &instance{clock: &f.clock, random: f.random, service: s, slow: 1},
		needs:    budget.NewNeeds(),
		below:    budget.NewNeeds(),
		placer:   placing.New("", placing.WithKind(f.policy.Placing), placing.WithRandIntN(f.random.IntN)),
		doors:    pressure.New(pressure.WithRand(f.random.Float64)),
	}
	ceiling := int(float64(s.Slots) * f.policy.Ceiling)
	h.gate = admission.New(
		limit.New(f.policy.Limit, ceiling),
		admission.WithQueue(queue.New[*admission.Ticket](f.policy.Queue)),
		admission.WithWait(f.policy.Wait),
		admission.WithRand(f.random.Float64),
	)
	return h
}

// enter is a caller's request at the door; its rate comes first.
func (h *host) enter(r request, done func(answer)) {
	decided := func(admitted bool) {
		if !admitted {
			done(answer{notRun: true})
			return
		}
		h.admit(r, done)
	}
	if h.fleet.lent != nil {
		h.fleet.lent.spend(h, r.organisation, decided)
		return
	}
	decided(h.fleet.buckets[r.organisation].spend(h.fleet.clock.Now))
}

// admit puts a request within its rate through the door.
func (h *host) admit(r request, done func(answer)) {
	organisation := h.fleet.names[r.organisation]
	if h.fleet.policy.Doors {
		if back, ok := h.doors.Admit(h.fleet.clock.Now, organisation, r.operation.Name); !ok {
			done(answer{notRun: true, back: back})
			return
		}
	}
	h.dispatch(r, budget.New(h.fleet.policy.Budget), func(a answer) {
		h.doors.Observe(h.fleet.clock.Now, organisation, r.operation.Name, a.pressure, a.back)
		done(a)
	})
}

// attempts is one hop's tries of one request.
type attempts struct {
	host    *host
	request request
	account *budget.Account
	tried   []string
	ran     bool
	last    answer
	done    func(answer)
}

// drawAgain is how often a call looks whether the calls made beside it gave back what it lacks.
const drawAgain = time.Millisecond

func (h *host) dispatch(r request, account *budget.Account, done func(answer)) {
	a := &attempts{host: h, request: r, account: account, done: done, last: answer{notRun: true, pressure: 1}}
	a.next()
}

func (a *attempts) next() {
	f, now := a.host.fleet, a.host.fleet.clock.Now
	if len(a.tried) == triesPerHop || !now.Before(a.request.deadline) {
		a.finish()
		return
	}
	runs, wait := a.draw()
	if wait != nil {
		f.clock.After(drawAgain, a.next)
		return
	}
	if runs == 0 {
		a.finish()
		return
	}
	place, ok := a.host.placer.Pick(now, a.request.service(), f.hosts[a.request.service()], a.tried)
	if !ok {
		a.account.Settle(runs, runs)
		a.finish()
		return
	}
	a.tried = append(a.tried, place.Host.Host)
	target := f.byName[place.Host.Host]
	f.clock.After(oneWay, func() {
		target.serve(a.request, runs, func(back answer) {
			f.clock.After(oneWay, func() { a.settle(place, runs, back) })
		})
	})
}

// draw takes runs for one attempt from the account; without a budget each attempt may cause any number.
func (a *attempts) draw() (int, <-chan struct{}) {
	if a.host.fleet.policy.Budget == 0 {
		return unbounded, nil
	}
	return a.account.Draw(a.host.needs.Expect(a.request.operation.Name+a.request.service(), a.request.hop))
}

// unbounded is the runs of an attempt without a budget.
const unbounded = 1 << 30

func (a *attempts) settle(place placing.Placement, runs int, back answer) {
	now := a.host.fleet.clock.Now
	name := a.request.operation.Name + a.request.service()
	a.host.placer.Settle(now, place, name, back.placingResult(), back.load)
	a.account.Settle(runs, back.left)
	if back.ok || back.failed {
		a.host.needs.Learn(name, runs, runs-back.left, back.ok)
	}
	a.last = back
	a.ran = a.ran || !back.notRun
	if back.ok || back.failed {
		a.finish()
		return
	}
	a.next()
}

func (a *attempts) finish() {
	a.last.notRun = a.last.notRun && !a.ran
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
		return placing.Failed
	}
}

// visit is one request at the host that owns the instance.
type visit struct {
	host    *host
	request request
	ticket  admission.Ticket
	runs    int
	begun   time.Time
	// called is when the instance's own part was done and its calls began.
	called time.Time
	work   *work
	over   bool
	done   func(answer)
}

func (h *host) serve(r request, runs int, done func(answer)) {
	f := h.fleet
	v := &visit{host: h, request: r, runs: runs, done: done}
	v.ticket = admission.Ticket{
		Organisation: f.names[r.organisation], Operation: r.operation.Name, Weight: f.weights[r.organisation],
		Priority: r.operation.Priority, Deadline: r.deadline, Waiter: v,
	}
	switch d := h.gate.Arrive(f.clock.Now, &v.ticket); d.Verdict {
	case admission.Run:
		v.run()
	case admission.Refuse:
		v.refused(d)
	case admission.Wait:
		f.clock.At(v.ticket.StartBy(), func() {
			if d, left := h.gate.Leave(f.clock.Now, &v.ticket); left {
				v.refused(d)
			}
		})
	}
}

// Decide is called by the gate, which must not be called from here.
func (v *visit) Decide(d admission.Decision) {
	v.host.fleet.clock.After(0, func() {
		if d.Verdict == admission.Run {
			v.run()
			return
		}
		v.refused(d)
	})
}

func (v *visit) refused(d admission.Decision) {
	v.done(answer{notRun: true, pressure: 1, back: d.RetryAfter, left: v.runs, load: v.host.gate.Load()})
}

func (v *visit) run() {
	f := v.host.fleet
	v.begun = f.clock.Now
	v.work = v.host.instance.take(v.deeper)
	if v.work == nil {
		v.host.gate.Settle(f.clock.Now, &v.ticket, admission.Result{Shed: true})
		v.refused(admission.Decision{})
		return
	}
	f.ran(v.request)
	f.clock.At(v.request.deadline, func() { v.end(answer{pressure: 1}) })
}

// end settles the visit once, when its work is done or its deadline has passed, which cancels the work.
func (v *visit) end(a answer) {
	if v.over {
		return
	}
	v.over = true
	now := v.host.fleet.clock.Now
	v.host.instance.release(v.work)
	v.host.gate.Settle(now, &v.ticket, admission.Result{Own: v.own(now)})
	if v.host.fleet.lost(v.request) {
		a = answer{}
	}
	a.load = v.host.gate.Load()
	v.done(a)
}

// own returns the instance's own time. As in the daemon, calls still open when the deadline ends the visit are no part of it.
func (v *visit) own(now time.Time) time.Duration {
	if v.called.IsZero() {
		return now.Sub(v.begun)
	}
	return v.called.Sub(v.begun)
}
