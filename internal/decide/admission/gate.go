package admission

import (
	"math"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Gate is the concurrency limit and the queue of one upstream.
//
// Designed for an upstream whose offered load exceeds its capacity for longer than a burst. Without a gate, requests queue until their
// callers have given up, the upstream runs requests that nobody waits for, and the callers' retries keep it overloaded after
// the cause has passed.
type Gate struct {
	mu         sync.Mutex
	limit      limit.Learner
	queue      queue.Queue[*Ticket]
	running    int
	holdTimes  holdTimes
	retryAfter *comeback.Schedule

	// pacer limits the rate of starts; nil means no limit.
	pacer *Pacer
	// reservation keeps slots free for short sub-calls; nil means that none are reserved.
	reservation *reservation
	maxWait     time.Duration
	maxLength   int
	counts      Counts
}

// Counts are totals since the start, for metrics. Refused includes Evicted and Expired, and Ran includes Shed.
type Counts struct {
	Ran     uint64
	Waited  uint64
	Refused uint64
	Evicted uint64
	Expired uint64
	Shed    uint64
}

// Option configures a gate.
type Option func(*Gate)

const (
	// DefaultWait bounds the wait in the queue: a longer wait is of no use while another instance may have free slots.
	DefaultWait = 250 * time.Millisecond
	// DefaultLength bounds the queue's memory where waits are short.
	DefaultLength = 1024
)

// WithQueue sets the order in which requests are served, a fair queue by default.
func WithQueue(order queue.Queue[*Ticket]) Option { return func(g *Gate) { g.queue = order } }

// WithWait sets the maximum wait of requests whose ticket sets none.
func WithWait(wait time.Duration) Option { return func(g *Gate) { g.maxWait = wait } }

// WithLength sets the maximum number of waiting requests.
func WithLength(requests int) Option { return func(g *Gate) { g.maxLength = requests } }

// WithPacer limits the rate of starts. Several gates of one upstream may share a pacer.
func WithPacer(p *Pacer) Option { return func(g *Gate) { g.pacer = p } }

// WithShortCalls reserves slots for sub-calls that would miss their target by waiting for one long request. It needs a fair queue.
func WithShortCalls() Option { return func(g *Gate) { g.reservation = &reservation{} } }

// WithRand sets the random source of the Retry-After jitter, which returns numbers in [0, 1).
func WithRand(random func() float64) Option {
	return func(g *Gate) { g.retryAfter = comeback.New(comeback.WithRand(random)) }
}

// New returns a gate with the concurrency limit of the learner.
func New(learner limit.Learner, opts ...Option) *Gate {
	g := &Gate{
		limit:      learner,
		holdTimes:  holdTimes{byOperation: map[string]*holdTime{}},
		retryAfter: comeback.New(),
		maxWait:    DefaultWait,
		maxLength:  DefaultLength,
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.queue == nil {
		g.queue = queue.NewFair[*Ticket]()
	}
	if _, fair := g.queue.(*queue.FairQueue[*Ticket]); !fair {
		g.reservation = nil
	}
	return g
}

// Arrive decides on a new request: it runs now, waits or is refused.
func (g *Gate) Arrive(now time.Time, t *Ticket) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	expected := g.holdTimes.estimate(t.Operation, now)
	if now.Add(expected).After(t.Deadline) || !now.Before(t.Deadline) {
		return g.refuse(now, call.DeadlineTooNear)
	}
	if g.outlasts(now, t) {
		return g.refuse(now, call.WouldOutlast)
	}
	g.arriveAtReservation(now, t)
	// Pacing may have ended since the waiting requests arrived.
	g.startWaiting(now)
	if g.running < g.limit.Limit() && g.precedesWaiting(now, t) && g.mayStart(now) {
		g.start(now, t)
		return Decision{Verdict: Run}
	}
	return g.enqueue(now, t, expected)
}

// enqueue lets the request wait if it is likely to start in time. The first request in an empty queue may always wait: the estimate
// can be wrong, and a gate that relied on it alone might refuse everything.
func (g *Gate) enqueue(now time.Time, t *Ticket, expected time.Duration) Decision {
	t.startBy = earlier(t.Deadline.Add(-expected), now.Add(g.maxWaitOf(t)))
	if latest, bounded := g.latestStart(t); bounded {
		t.startBy = earlier(t.startBy, latest)
	}
	t.item = queue.Item[*Ticket]{
		Value: t, Organisation: t.Organisation, Weight: t.Weight, Priority: t.Priority, Cost: g.holdTimes.relativeCost(t.Operation),
	}
	if g.pacer != nil && g.pacer.nextLimited().After(t.startBy) {
		return g.refuseTicket(now, t, g.shortage(now))
	}
	wait := g.expectedWaitOf(now, t, g.queue.Ahead(&t.item))
	if g.queue.Len() > 0 && now.Add(wait).After(t.startBy) {
		return g.refuseTicket(now, t, g.shortage(now))
	}
	if g.queue.Len() >= g.maxLength && !g.evict(now, g.queue.Victim(&t.item)) {
		return g.refuseTicket(now, t, g.shortage(now))
	}
	g.queue.Push(&t.item)
	g.counts.Waited++
	g.evictLastIfLate(now, t)
	return Decision{Verdict: Wait}
}

// mayStart counts a start, or returns false if the pacer allows none yet.
func (g *Gate) mayStart(now time.Time) bool { return g.pacer == nil || g.pacer.take(now) }

// giveBackStart undoes mayStart for a start that didn't take place.
func (g *Gate) giveBackStart() {
	if g.pacer != nil {
		g.pacer.giveBack()
	}
}

// pace returns the time between two starts, 0 if they aren't paced.
func (g *Gate) pace(now time.Time) time.Duration {
	if g.pacer == nil {
		return 0
	}
	return g.pacer.Interval(now)
}

// shortage returns the reason of a refusal: the upstream takes only so many requests a second, is warming up, or all its slots are in use.
func (g *Gate) shortage(now time.Time) call.Reason {
	switch {
	case g.pace(now) == 0 || g.running >= g.limit.Limit():
		return call.Overloaded
	case g.pacer.limited(now):
		return call.UpstreamLimited
	default:
		return call.WarmingUp
	}
}

// maxWaitOf returns how long the ticket may wait.
func (g *Gate) maxWaitOf(t *Ticket) time.Duration {
	if t.Patience > 0 {
		return t.Patience
	}
	return g.maxWait
}

// evict refuses a waiting request; it returns false if there is no victim.
func (g *Gate) evict(now time.Time, victim *queue.Item[*Ticket]) bool {
	if victim == nil {
		return false
	}
	g.queue.Remove(victim)
	g.counts.Evicted++
	victim.Value.Waiter.Decide(g.refuseTicket(now, victim.Value, g.shortage(now)))
	return true
}

// evictLastIfLate refuses the waiting request that is served last if it has a lower priority than the arrival and those before it
// take longer than it may wait: otherwise it would be refused only at the end of its wait.
func (g *Gate) evictLastIfLate(now time.Time, arrival *Ticket) {
	last := g.queue.Last()
	if last == nil || last.Priority >= arrival.Priority {
		return
	}
	wait := g.expectedWaitOf(now, last.Value, g.queue.Len()-1)
	if now.Add(wait).After(last.Value.startBy) {
		g.evict(now, last)
	}
}

// Leave ends the wait of a ticket that has expired or whose caller has given up; it returns false if its Waiter already has the
// decision.
func (g *Gate) Leave(now time.Time, t *Ticket) (Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.item.Queued() {
		return Decision{}, false
	}
	g.queue.Remove(&t.item)
	g.counts.Expired++
	return g.refuseTicket(now, t, g.lateReason(now, t)), true
}

// RefuseWaiting ends the wait of all waiting tickets with the reason and returns their number. Their requests have not run.
func (g *Gate) RefuseWaiting(now time.Time, reason call.Reason) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := 0
	for item := g.queue.Pop(); item != nil; item = g.queue.Pop() {
		refused++
		item.Value.Waiter.Decide(g.refuseTicket(now, item.Value, reason))
	}
	return refused
}

// Resume starts the waiting requests that the pacer allows by now.
func (g *Gate) Resume(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startWaiting(now)
}

// Settle ends a run, learns from it and starts waiting requests.
func (g *Gate) Settle(now time.Time, t *Ticket, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.reservation.end(t, now, r)
	if !r.Withdrawn {
		g.learn(now, t, r)
	}
	g.startWaiting(now)
}

func (g *Gate) learn(now time.Time, t *Ticket, r Result) {
	if r.Shed {
		g.counts.Shed++
	} else {
		g.holdTimes.record(t.Operation, now.Sub(t.startedAt), now)
	}
	g.limit.Learn(now, limit.Sample{Operation: t.Operation, Latency: r.Own, InFlight: t.inFlight, Shed: r.Shed})
}

// startWaiting fills the free slots, as far as the pacer allows.
func (g *Gate) startWaiting(now time.Time) {
	for g.running < g.limit.Limit() && g.startable(now) > 0 && g.mayStart(now) {
		t := g.nextInTime(now)
		if t == nil {
			g.giveBackStart()
			return
		}
		g.start(now, t)
		t.Waiter.Decide(Decision{Verdict: Run})
	}
}

// nextInTime removes the next waiting request, or returns nil. A ticket that can no longer finish in time is refused rather than run, in
// case its timer is late.
func (g *Gate) nextInTime(now time.Time) *Ticket {
	for item := g.pop(now); item != nil; item = g.pop(now) {
		if t := item.Value; !now.After(t.startBy) && !g.outlasts(now, t) {
			return t
		}
		g.counts.Expired++
		item.Value.Waiter.Decide(g.refuseTicket(now, item.Value, g.lateReason(now, item.Value)))
	}
	return nil
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.running++
	g.counts.Ran++
	g.reservation.start(t)
	t.startedAt = now
	t.inFlight = g.running
}

// refuseTicket refuses a request that the reservation has counted.
func (g *Gate) refuseTicket(now time.Time, t *Ticket, reason call.Reason) Decision {
	g.reservation.leave(t)
	return g.refuse(now, reason)
}

func (g *Gate) refuse(now time.Time, reason call.Reason) Decision {
	g.counts.Refused++
	queueTime := g.expectedWait(now, g.queue.Len()+1)
	return Decision{Verdict: Refuse, Reason: reason, RetryAfter: g.retryAfter.Next(now, queueTime, g.expectedWait(now, 1))}
}

// expectedWait is the expected time until so many more requests have started, while all slots are in use or starts are paced.
func (g *Gate) expectedWait(now time.Time, starts int) time.Duration {
	betweenEnds := time.Duration(g.holdTimes.meanSeconds / float64(g.limit.Limit()) * float64(time.Second))
	unpaced := time.Duration(starts) * betweenEnds
	if pace := g.pace(now); pace > 0 {
		return max(unpaced, min(time.Duration(starts)*pace, g.pacer.remaining(now)+unpaced))
	}
	return unpaced
}

// Load returns the load that a host reports with each response.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{InFlight: g.running, Queued: g.queue.Len(), Limit: g.limit.Limit()}
}

// UsableSlots returns the concurrency limit, or how much of it the pacer allows to use.
func (g *Gate) UsableSlots(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(math.Round(g.slotsAt(g.pace(now))))
}

// slotsAt returns how much of the concurrency limit starts at the pace can fill, at least one slot.
func (g *Gate) slotsAt(pace time.Duration) float64 {
	slots := float64(g.limit.Limit())
	if pace == 0 {
		return slots
	}
	return min(max(g.holdTimes.meanSeconds/pace.Seconds(), 1), slots)
}

// Fullness returns the saturation: the fraction of the slots in use, plus the expected wait in the queue in the given unit. Slots that the
// upstream's rate limit leaves empty don't count.
//
// The queue's length alone says little: ten requests of 15 ms pass through 20 slots unnoticed, ten uploads don't.
func (g *Gate) Fullness(now time.Time, unit time.Duration) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var pace time.Duration
	if g.pacer != nil {
		pace = g.pacer.limitInterval()
	}
	wait := g.expectedWait(now, g.queue.Len())
	return float64(g.inUse(now))/g.slotsAt(pace) + wait.Seconds()/unit.Seconds()
}

// Counts returns the totals since the start.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
