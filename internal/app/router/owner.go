package router

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
	"github.com/foxtailhook/foxtailhook/internal/wire/instance"
)

// executor runs requests on the instance beside the daemon, as many at once as it has slots.
type executor struct {
	heads    Heads
	instance *instance.Client

	runs *lineage.Runs
	// drainTime is within how long nothing new may reach an instance that leaves.
	drainTime time.Duration
	without   mechanism.Set

	mu      sync.Mutex
	current routing.Instance
	known   bool
	gate    *admission.Gate
	// fullSum and fullCount are of what requests found since the last beat.
	fullSum   float64
	fullCount int
	// held is for how long requests of each route have held slots since the last beat.
	held map[string]allot.HoldTime
	// seen and wasted count what reached the instance and what has to be sent again, since the last beat.
	seen, wasted int
	// lost is when the instance last took no connection; zero once it has answered since.
	lost time.Time
	// leaves is when the instance was first known to leave; zero while it stays.
	leaves time.Time
}

const (
	// unknownSlots holds until the instance's own word is there.
	unknownSlots = 16
	// queueTime bounds the wait for a slot. Longer than the time between two starts on a full instance, so that its slots
	// never stand empty, and short enough to try another instance within the time that callers find good.
	queueTime = 250 * time.Millisecond
	// answerTime is kept of a request's time for the answer's way back.
	answerTime = 10 * time.Millisecond
	// goneWait is when to come back where the instance can't be reached.
	goneWait = 500 * time.Millisecond
)

func newExecutor(s Settings, heads Heads) *executor {
	o := &executor{heads: heads, instance: instance.New(s.Instance), runs: lineage.New(), drainTime: s.DrainTime, without: s.Without, held: map[string]allot.HoldTime{}}
	o.gate = newGate(unknownSlots)
	return o
}

func newGate(slots int) *admission.Gate {
	return admission.New(limit.NewFixed(max(int(float64(slots)*slotsPart), 1)), admission.WithWait(queueTime))
}

// slotsPart is the part of the slots that is used: some instances slow down when nearly all are taken, by more than the rest could do.
const slotsPart = 0.95

// observe takes in what is published of the instance on this host; another start of it begins with an empty gate.
func (o *executor) observe(i routing.Instance, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !known {
		o.known = false
		return
	}
	switch {
	case !i.Draining:
		o.leaves = time.Time{}
	case o.leaves.IsZero():
		o.leaves = time.Now()
	}
	if !o.known || o.current.Incarnation() != i.Incarnation() || o.current.Slots != i.Slots {
		o.gate = newGate(max(i.Slots, 1))
	}
	o.current, o.known = i, true
}

// closed reports whether nothing new may be sent to the instance any more, since it has been leaving for a while. Requests
// that were sent here before others knew, or have waited here, would reach it in its last moments.
func (o *executor) closed(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.leaves.IsZero() && now.Sub(o.leaves) > o.drainTime/2
}

// admits returns the gate for requests to the start of the instance, or false if another is known to be here by now.
func (o *executor) admits(i routing.Incarnation) (*admission.Gate, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known && o.current.Incarnation() != i {
		return o.gate, false
	}
	return o.gate, true
}

func (o *executor) load() call.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Load()
}

func (o *executor) stop() { o.instance.Close() }

// run runs the request on the instance, or refuses it before the instance has seen it.
func (o *executor) run(ctx context.Context, m *runRequest) runResult {
	begun := time.Now()
	gate, ok := o.admits(m.Instance)
	if !ok {
		return refused(call.Refuse(call.NoUpstream, goneWait), gate.Load())
	}
	deadline := begun.Add(m.Remaining - min(answerTime, m.Remaining/10))
	t := o.ticket(m, deadline)
	full := gate.Fullness(waitUnit)
	o.found(full)
	if d := gate.Enter(ctx, t); d.Verdict != admission.Run {
		if errors.Is(ctx.Err(), context.Canceled) {
			d.Reason = call.Cancelled
		}
		out := refused(call.Refuse(d.Reason, d.RetryAfter), gate.Load())
		out.Saturation = full
		return out
	}
	started := time.Now()
	if o.closed(started) {
		gate.Settle(started, t, admission.Result{Withdrawn: true})
		return refused(call.Refuse(call.NoUpstream, goneWait), gate.Load())
	}
	out := o.execute(ctx, m, deadline)
	out.Waited = started.Sub(begun)
	now := time.Now()
	gate.Settle(now, t, result(out, now.Sub(started)))
	o.ended(m, out, now.Sub(started), now)
	out.Load = gate.Load()
	out.Saturation = max(out.Saturation, full)
	return out
}

// ticket is the request's place in the queue. A call goes before callers' requests of its own priority, since the work that was done
// for it would be lost, and not before those of a higher one: a map that takes one slot for a moment would wait behind the
// calls of all lookups.
func (o *executor) ticket(m *runRequest, deadline time.Time) *admission.Ticket {
	t := &admission.Ticket{Organisation: m.Organisation, Operation: m.Route, Weight: 1, Priority: m.Priority, Deadline: deadline}
	if m.Nested {
		t.Priority++
		if o.without.Has(mechanism.RankedSubcalls) {
			t.Priority = call.Nested
		}
		t.Weight = nestedWeight
		t.Patience = time.Duration(float64(m.Remaining) * nestedPatience)
	}
	return t
}

// nestedWeight is the share of calls, which name no organisation, against that of one organisation's requests of the same place.
const nestedWeight = 8

// found takes in how full the instance was when a request came.
func (o *executor) found(full float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fullSum += full
	o.fullCount++
}

// ended takes in for how long a request has held a slot, whether it has to be sent again, and whether the instance is there.
func (o *executor) ended(m *runRequest, out runResult, took time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if out.Arrived {
		o.seen++
	}
	if out.wasted(m.Idempotent) {
		o.wasted++
	}
	switch {
	case out.Reason == call.NoUpstream:
		o.lost = now
		return
	case out.Reason == call.UpstreamShed:
		return
	case out.Outcome == call.Whole:
		o.lost = time.Time{}
	}
	h := o.held[m.Route]
	o.held[m.Route] = allot.HoldTime{Route: m.Route, Seconds: h.Seconds + took.Seconds(), Count: h.Count + 1}
}

// wasted reports whether the request reached the instance in vain and may be sent once more.
func (out *runResult) wasted(idempotent bool) bool {
	switch {
	case out.Reason == call.UpstreamShed:
		return true
	case !idempotent:
		return false
	case out.Reason == call.AnswerLost:
		return true
	default:
		return out.Outcome == call.Whole && out.Status == statusFailed && !out.CallFailed
	}
}

// lostTime is how long an instance that took no connection counts as having no slots: requests find out whether it is back.
const lostTime = time.Second

// tell returns what is seen of the instance: how full requests found it, its slots that can be used, which are none where
// the daemon leaves, and for how long requests have held them and how many came to nothing since the last time.
func (o *executor) tell(leaving bool, now time.Time) (demand.Service, collect.Work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := demand.Service{Instances: 1, Saturation: o.gate.Fullness(waitUnit)}
	if o.fullCount > 0 {
		seen.Saturation = o.fullSum / float64(o.fullCount)
	}
	if o.known && !leaving && o.leaves.IsZero() && now.Sub(o.lost) > lostTime {
		seen.Slots = o.gate.Load().Limit
	}
	work := collect.Work{HoldTimes: slices.Collect(maps.Values(o.held)), Delivered: o.seen, Retryable: o.wasted}
	o.fullSum, o.fullCount, o.seen, o.wasted = 0, 0, 0, 0
	clear(o.held)
	return seen, work
}

// nestedPatience is the part of the time left that a call of a running request may wait: refused, its parent's work is lost.
const nestedPatience = 0.6

// waitUnit is the wait for a slot that counts as much as all slots: a chain of ten calls may wait for half a second in all,
// and callers find answers good that take some times that.
const waitUnit = 50 * time.Millisecond

func refused(a call.Answer, load call.Load) runResult {
	return runResult{Outcome: a.Outcome, Reason: a.Reason, Status: a.Status, RetryAfter: a.RetryAfter, Load: load}
}
