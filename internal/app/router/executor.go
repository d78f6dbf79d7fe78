package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/instance"
)

// executor runs requests on the instance on this host, with a concurrency limit of its slots.
type executor struct {
	heads    Heads
	instance *instance.Client

	runs   *lineage.Runs
	warmUp *warmUp
	// crashes finds crashes of the instance, and quarantine counts those of all instances of the service by what was at work.
	crashes    *crash.Detector[*runRequest]
	quarantine *quarantine.Table
	// locks let content under which instances have crashed run one request at a time.
	locks quarantine.Locks
	// onPublished is called when another incarnation of the instance is published: while none was, this daemon may have missed crashes of others.
	onPublished func()
	// spreadCrash tells other daemons of a crash, and returns when they know.
	spreadCrash func([]crash.Suspect)
	// stated has what the instance says of itself.
	stated *statements
	// drainTime is the time after which an instance that has started to drain must receive no new requests.
	drainTime time.Duration
	disabled  mechanism.Set
	// longWaits bounds the requests that wait for a slot longer than maxQueueWait.
	longWaits admission.LongWaits
	// cutoff is when the daemon ends the runs that are at work, nil while it isn't shutting down.
	cutoff atomic.Pointer[time.Time]
	// waitsEnded means that the daemon is closed to its peers, so that no request waits for a slot any more.
	waitsEnded atomic.Bool

	ctx        context.Context
	cancel     context.CancelFunc
	monitoring sync.WaitGroup

	mu sync.Mutex
	// configured means that the settings of the instance's service are known.
	configured bool
	current    routing.Instance
	known      bool
	gate       *admission.Gate
	// saturationSum and saturationCount sum what requests observed at their arrival since the last heartbeat.
	saturationSum   float64
	saturationCount int
	// holdTimes says how long requests of each route have held slots since the last heartbeat.
	holdTimes map[string]allot.HoldTime
	// delivered counts the requests that reached the instance since the last heartbeat, retryable those of them that must be retried.
	delivered, retryable int
	// unreachableAt is when the instance last accepted no connection; zero once it has responded since.
	unreachableAt time.Time
	// drainingSince is when the instance was first known to be draining, or when its entry was removed; zero while neither is so.
	drainingSince time.Time
	// zoneDrained means that the operator has drained the availability zone of this host.
	zoneDrained bool
	// table has the routes' targets; nil while no configuration is known.
	table *routing.Table
	// reserved is the number of slots that were reserved at the last tick.
	reserved int
}

const (
	// defaultSlots applies until the instance's own number of slots is known.
	defaultSlots = 16
	// maxQueueWait bounds the wait for a slot. It is longer than the time between two starts on a saturated instance, so that its slots
	// never stay empty, and short enough to try another instance within the time that callers accept.
	maxQueueWait = 250 * time.Millisecond
	// responseReserve is reserved from a request's time for the response's way back.
	responseReserve = 10 * time.Millisecond
	// unreachableRetryAfter is the Retry-After if the instance can't be reached.
	unreachableRetryAfter = 500 * time.Millisecond
	// redirectRetryAfter is the Retry-After if an instance is slow and none of the others can be sent the request. After it, the statement for
	// which the request was redirected no longer counts.
	redirectRetryAfter = maxRedirectAge
)

func newExecutor(settings Settings, heads Heads, warm *warmUp, account *bounded.Account) *executor {
	e := &executor{
		heads: heads, instance: instance.New(settings.Instance, instance.WithAccount(account)), runs: lineage.New(), warmUp: warm, drainTime: settings.DrainTime, disabled: settings.Without,
		stated: &statements{heads: heads, log: warm.log, metrics: warm.metrics, pacer: warm.pacer}, holdTimes: map[string]allot.HoldTime{},
	}
	warm.observe = e.observeCheck
	e.quarantine, e.onPublished = quarantine.NewTable(), func() {}
	e.crashes = crash.NewDetector(e.instance.Refuses, e.suspect, e.instanceCrashed)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.gate = e.newGate(defaultSlots)
	return e
}

// newGate returns an empty gate. Requests that wait at an earlier one go to the same instance, so all gates share the pacer.
func (e *executor) newGate(slots int) *admission.Gate {
	usable := max(int(float64(slots)*usableSlotFraction), 1)
	opts := []admission.Option{admission.WithWait(maxQueueWait), admission.WithPacer(e.warmUp.pacer)}
	if !e.disabled.Has(mechanism.ShortCalls) {
		opts = append(opts, admission.WithShortCalls())
	}
	return admission.New(limit.NewFixed(usable), opts...)
}

// usableSlotFraction is the fraction of the slots that is used: some instances slow down when nearly all slots are in use, by more than the
// remaining slots would add.
const usableSlotFraction = 0.95

// tick closes idle connections and updates the metrics; it is called periodically.
func (e *executor) tick(now time.Time) {
	e.instance.Sweep(now)
	e.warmUp.metrics.Gauge(telemetry.InstanceCold).Update(e.warmUp.coldStarts(now))
	e.reportReserved(now)
}

// gateFor returns the gate for requests to the incarnation of the instance, or false if another incarnation is known to run on this host.
func (e *executor) gateFor(incarnation routing.Incarnation) (*admission.Gate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && e.current.Incarnation() != incarnation {
		return e.gate, false
	}
	return e.gate, true
}

func (e *executor) currentGate() *admission.Gate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate
}

func (e *executor) load() call.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return loadOf(e.gate)
}

// loadOf returns the load at the gate. The limit of a cold instance is what its pace can fill, so that other daemons send it no more.
func loadOf(gate *admission.Gate) call.Load {
	load := gate.Load()
	load.Limit = gate.UsableSlots(time.Now())
	return load
}

// start begins to monitor the instance.
func (e *executor) start() { e.monitoring.Go(func() { e.warmUp.run(e.ctx) }) }

func (e *executor) stop() {
	e.cancel()
	e.monitoring.Wait()
	e.instance.Close()
}

// run runs the request on the instance, or refuses it before it reaches the instance, and reports what the instance states.
func (e *executor) run(ctx context.Context, req *runRequest) runResult {
	e.stated.adopt(req.Instance, req.RequestID, req.RateLimit)
	res := e.admit(ctx, req)
	res.RateLimit = e.stated.rateLimit(req.Instance)
	now := time.Now()
	_, res.InstanceLeaving = e.stated.leavingFor(req.Instance, now)
	res.Load.Slowness = e.stated.slownessOf(req.Instance, now)
	return res
}

// admit waits for a slot and sends the request, or refuses it.
func (e *executor) admit(ctx context.Context, req *runRequest) runResult {
	arrived := time.Now()
	gate, ok := e.gateFor(req.Instance)
	if !ok {
		return refusedResult(call.Refuse(call.NoUpstream, unreachableRetryAfter), loadOf(gate))
	}
	if reason := e.closedTo(req, arrived); reason != call.None {
		return refusedResult(call.Refuse(reason, unreachableRetryAfter), loadOf(gate))
	}
	if e.redirects(req, arrived) {
		return refusedResult(call.Refuse(call.InstanceSlow, redirectRetryAfter), loadOf(gate))
	}
	deadline := arrived.Add(req.Remaining - min(responseReserve, req.Remaining/10))
	if refusal, ok := e.screen(ctx, req, deadline); !ok {
		return refusal
	}
	defer e.unlock(req)
	ticket := e.ticket(req, deadline)
	e.setFinishBy(ticket, req, arrived)
	saturation := gate.Fullness(arrived, waitUnit)
	e.recordSaturation(saturation)
	if decision := e.enter(ctx, gate, ticket, req); decision.Verdict != admission.Run {
		if errors.Is(ctx.Err(), context.Canceled) {
			decision.Reason = call.Cancelled
		}
		res := refusedResult(call.Refuse(decision.Reason, decision.RetryAfter), loadOf(gate))
		res.Saturation = saturation
		return res
	}
	started := time.Now()
	e.setFinishBy(ticket, req, arrived)
	reason := e.closedAtStart(req, started)
	if reason == call.None {
		reason = e.closedToContent(req, started)
	}
	if reason == call.None && gate.Outlasts(started, ticket) {
		reason = call.WouldOutlast
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// The gate gives a free slot without a look at the context.
		reason = call.Cancelled
	}
	if reason != call.None {
		gate.Settle(started, ticket, admission.Result{Withdrawn: true})
		return e.refusedAtStart(req, reason, loadOf(gate))
	}
	res := e.execute(ctx, req, ticket)
	res.Waited = started.Sub(arrived)
	now := time.Now()
	if res.Outcome == call.Whole {
		e.clear(req)
	}
	res.EndedEarly = res.Status == http.StatusGatewayTimeout && e.shortens(ticket)
	gate.Settle(now, ticket, gateResult(res, now.Sub(started)))
	e.recordRun(req, res, now.Sub(started), now)
	res.Load = loadOf(gate)
	res.Saturation = max(res.Saturation, saturation)
	return res
}

// refusedAtStart returns the refusal of a request that has got a slot.
func (e *executor) refusedAtStart(req *runRequest, reason call.Reason, load call.Load) runResult {
	res := refusedResult(call.Refuse(reason, max(unreachableRetryAfter, req.inspection.verdict.RetryAfter)), load)
	if reason == call.Suspected {
		res.Suspect = req.inspection.verdict.Fingerprint
	}
	return res
}

// closedAtStart returns why a request that has got a slot must not reach the instance, or call.None: closedTo says so, or another incarnation has
// replaced the instance since the request arrived.
func (e *executor) closedAtStart(req *runRequest, now time.Time) call.Reason {
	if _, current := e.gateFor(req.Instance); !current {
		return call.NoUpstream
	}
	return e.closedTo(req, now)
}

// redirects reports whether the request is refused because the instance is slow now, and counts it.
func (e *executor) redirects(req *runRequest, now time.Time) bool {
	if !req.Redirectable || e.disabled.Has(mechanism.InstanceSpeed) || !e.stated.slow(req.Instance, now) {
		return false
	}
	e.warmUp.metrics.Counter(telemetry.RequestsRedirected).Inc(1)
	return true
}

// ticket returns the request's ticket for the queue. A sub-call takes precedence over callers' requests of its own priority, since
// otherwise the work done for its parent would be wasted, but not over those of a higher one: otherwise a short high-priority request would
// wait behind the sub-calls of all others.
func (e *executor) ticket(req *runRequest, deadline time.Time) *admission.Ticket {
	ticket := &admission.Ticket{Organisation: req.Organisation, Operation: req.Route, Weight: 1, Priority: req.Priority, Deadline: deadline}
	if req.Subcall {
		ticket.Priority++
		if e.disabled.Has(mechanism.RankedSubcalls) {
			ticket.Priority = call.Nested
		}
		ticket.Weight = subcallWeight
		ticket.Patience = time.Duration(float64(req.Remaining) * subcallWaitFraction)
		ticket.SubcallTarget = e.targetOf(req.Route)
	}
	return ticket
}

// subcallWeight is the fair-queueing weight of all sub-calls, which carry no organisation, against 1 for one organisation's requests of the
// same priority.
const subcallWeight = 8

// subcallWaitFraction is the fraction of the remaining time that a sub-call may wait for a slot: if it is refused, its parent's work is
// wasted.
const subcallWaitFraction = 0.6

func refusedResult(answer call.Answer, load call.Load) runResult {
	return runResult{Outcome: answer.Outcome, Reason: answer.Reason, Status: answer.Status, RetryAfter: answer.RetryAfter, Load: load}
}
